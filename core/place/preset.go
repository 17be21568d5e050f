package place

import "fmt"

// presets holds the registered weights by name.
var presets = map[string]Picker{}

// Register adds a preset. It panics if the name is taken, which is a programming error.
func Register(name string, p Picker) {
	if _, ok := presets[name]; ok {
		panic("place: preset registered twice: " + name)
	}
	presets[name] = p
}

// Preset returns a Picker with the weights registered under name.
func Preset(name string) (Picker, error) {
	p, ok := presets[name]
	if !ok {
		return Picker{}, fmt.Errorf("place: no preset %q", name)
	}
	return p, nil
}

// Names of the built-in presets.
const (
	Goodput = "goodput" // Prefers answers that meet their deadline.
	Prefill = "prefill" // Prefers to waste no prompt processing.
)

func init() {
	Register(Goodput, Picker{MaxDetour: 0.1, DeadlineMargin: 1})
	Register(Prefill, Picker{MaxDetour: 0.5, DeadlineMargin: 3})
}
