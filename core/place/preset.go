package place

import "fmt"

// presets are the registered weights.
var presets = map[string]Picker{}

// Register adds a preset. It panics on a second one of the same name, which
// can only be a mistake in the program.
func Register(name string, p Picker) {
	if _, ok := presets[name]; ok {
		panic("place: preset registered twice: " + name)
	}
	presets[name] = p
}

// Preset returns the weights registered under name.
func Preset(name string) (Picker, error) {
	p, ok := presets[name]
	if !ok {
		return Picker{}, fmt.Errorf("place: no preset %q", name)
	}
	return p, nil
}

// Names of the presets that come with the program.
const (
	Goodput = "goodput" // Answers in time come first.
	Prefill = "prefill" // Prompt work that isn't done in vain comes first.
)

func init() {
	Register(Goodput, Picker{MaxDetour: 0.1, DeadlineMargin: 1})
	Register(Prefill, Picker{MaxDetour: 0.5, DeadlineMargin: 3})
}
