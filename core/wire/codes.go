package wire

// CodeMoved is the code of the fault with which a member answers a ticket of a
// pool that it doesn't own, or no longer: nothing was granted, and the entry
// asks the owner that it knows by then.
const CodeMoved = "not-owner"
