// Package wire holds the messages between azurelane processes. They are also
// the typed inputs and outputs of the state machines under core.
package wire

// Error makes a peer's fault an error of the caller.
func (f *Fault) Error() string {
	if f.GetText() == "" {
		return f.GetCode()
	}
	return f.GetCode() + ": " + f.GetText()
}
