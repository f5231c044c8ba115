package trace

import "github.com/vanillaward/vanillaward/internal/delivery"

var (
	lossNames    = []string{"link", "generation", "refused", "unsent"}
	stepNames    = []string{"resume", "restart", "end"}
	verdictNames = []string{"pass", "drop", "withhold", "gap", "diverged", "excess"}
)

// LossName returns the name of a loss as written in traces.
func LossName(l delivery.Loss) string { return lossNames[l] }

// StepName returns the name of a step as written in traces.
func StepName(s delivery.Step) string { return stepNames[s] }

// VerdictName returns the name of a verdict as written in traces.
func VerdictName(v delivery.Verdict) string { return verdictNames[v] }

// lossOf returns the loss with the given name, or false if the name is unknown.
func lossOf(name string) (delivery.Loss, bool) {
	for i, n := range lossNames {
		if n == name {
			return delivery.Loss(i), true
		}
	}
	return 0, false
}
