package telemetry

import "time"

// InformationAge records how old what was known of other instances was when an engine was chosen.
func (m *Metrics) InformationAge(age time.Duration) {
	m.set.GetOrCreateHistogram("vanillaward_choice_information_age_seconds").Update(age.Seconds())
}
