package place

import "fmt"

// presets are the registered weights.
var presets = map[string]Place{}

// Register adds a preset. It panics on a second one of the same name, which
// can only be a mistake in the program.
func Register(name string, p Place) {
	if _, ok := presets[name]; ok {
		panic("place: preset registered twice: " + name)
	}
	presets[name] = p
}

// Preset returns the weights registered under name.
func Preset(name string) (Place, error) {
	p, ok := presets[name]
	if !ok {
		return Place{}, fmt.Errorf("place: no preset %q", name)
	}
	return p, nil
}

// Names of the presets that come with the program.
const (
	Goodput = "goodput" // Answers in time come first.
	Prefill = "prefill" // Prompt work that isn't done in vain comes first.
)

func init() {
	Register(Goodput, Place{Detour: 0.1, Margin: 1})
	Register(Prefill, Place{Detour: 0.5, Margin: 3})
}
