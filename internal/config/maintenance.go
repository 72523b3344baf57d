package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Maintenance configures when and how maintenance waves run.
type Maintenance struct {
	Window Window `yaml:"window,omitempty"`
	// DrainSeconds is the time that work on a cordoned instance has to end before its tasks are checkpointed.
	DrainSeconds int `yaml:"drain_seconds" jsonschema:"minimum=1,maximum=86400"`
	// RebootSeconds is the maximum time that an instance may be absent while it reboots.
	RebootSeconds int `yaml:"reboot_seconds" jsonschema:"minimum=1,maximum=86400"`
	// ProbeSeconds is the maximum time until an instance that has returned answers a probe.
	ProbeSeconds int `yaml:"probe_seconds" jsonschema:"minimum=1,maximum=3600"`
	// PauseAfterFailures is the number of consecutive failures, or of failures within one rack or availability zone, after
	// which a wave is paused.
	PauseAfterFailures int `yaml:"pause_after_failures" jsonschema:"minimum=1,maximum=100"`
}

// Window is the part of the week in which instances may be down. Without days, start and end it is always open.
type Window struct {
	// Days contains the days on which the window begins. If it is empty, the window begins every day.
	Days []string `yaml:"days"`
	// Start and End are times of day in UTC, such as 22:30. If End is not after Start, the window ends on the next day.
	Start string `yaml:"start" jsonschema:"pattern=^([01][0-9]|2[0-3]):[0-5][0-9]$"`
	End   string `yaml:"end" jsonschema:"pattern=^([01][0-9]|2[0-3]):[0-5][0-9]$"`
}

// DefaultMaintenance returns the maintenance settings that apply if the document sets none. A wave pauses after two
// failures, because one failure in about 60 restarts a day is normal, whereas two in a row indicate a fault in the
// change that the wave rolls out.
func DefaultMaintenance() Maintenance {
	return Maintenance{DrainSeconds: 600, RebootSeconds: 600, ProbeSeconds: 60, PauseAfterFailures: 2}
}

// DrainTimeout returns the maximum duration of a drain before tasks are checkpointed.
func (m Maintenance) DrainTimeout() time.Duration { return time.Duration(m.DrainSeconds) * time.Second }

// RebootTimeout returns the maximum absence of an instance during its reboot.
func (m Maintenance) RebootTimeout() time.Duration {
	return time.Duration(m.RebootSeconds) * time.Second
}

// ProbeTimeout returns the maximum time until an instance that has returned answers a probe.
func (m Maintenance) ProbeTimeout() time.Duration { return time.Duration(m.ProbeSeconds) * time.Second }

// MaxAbsence returns the maximum time from the cordon of an instance to its return. It is the sum of the maximum
// times of the drain, of checkpointing and moving tasks, which may take as long as the drain, of the reboot and of the
// probe.
func (m Maintenance) MaxAbsence() time.Duration {
	return 2*m.DrainTimeout() + m.RebootTimeout() + m.ProbeTimeout()
}

// timeOfDayLayout is the layout of a time of day for time.Parse.
const timeOfDayLayout = "15:04"

var timeOfDayPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)

// weekdays contains the names of the days, indexed by time.Weekday.
var weekdays = []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"}

// Always reports whether the window is always open.
func (w Window) Always() bool { return w.Start == "" && w.End == "" && len(w.Days) == 0 }

// maxAdjoiningDays is the number of days ahead that Closes searches for adjoining windows, such as whole days.
const maxAdjoiningDays = 7

// Closes returns the time at which the window that is open at now closes, or false if none is open. Windows that adjoin
// or overlap count as one. Closes must not be called if Always returns true.
func (w Window) Closes(now time.Time) (time.Time, bool) {
	now = now.UTC()
	today := time.Date(now.Year(), now.Month(), now.Day(), 0, 0, 0, 0, time.UTC)
	var latest time.Time
	// A window that began yesterday may still be open.
	for n := -1; n <= maxAdjoiningDays; n++ {
		day := today.AddDate(0, 0, n)
		begin, end := w.boundsOn(day)
		openNow := !now.Before(begin) && now.Before(end)
		adjoins := !latest.IsZero() && !begin.After(latest)
		if w.beginsOn(day.Weekday()) && (openNow || adjoins) && end.After(latest) {
			latest = end
		}
	}
	return latest, !latest.IsZero()
}

// boundsOn returns the start and the end of the window that begins on day.
func (w Window) boundsOn(day time.Time) (begin, end time.Time) {
	begin, end = day.Add(timeOfDay(w.Start)), day.Add(timeOfDay(w.End))
	if !end.After(begin) {
		end = end.AddDate(0, 0, 1)
	}
	return begin, end
}

func (w Window) beginsOn(day time.Weekday) bool {
	return len(w.Days) == 0 || slices.Contains(w.Days, weekdays[day])
}

// timeOfDay returns the time since midnight. It returns 0 for a missing time, so that a window without times lasts the
// whole day.
func timeOfDay(text string) time.Duration {
	t, err := time.Parse(timeOfDayLayout, text)
	if err != nil {
		return 0
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

func (v *validator) checkWindow() {
	const path = "maintenance.window"
	w := v.doc.Maintenance.Window
	for i, day := range w.Days {
		dayPath := fmt.Sprintf("%s.days[%d]", path, i)
		if !slices.Contains(weekdays, day) {
			v.Reportf(dayPath, "must be monday, tuesday, wednesday, thursday, friday, saturday or sunday")
		} else if slices.Contains(w.Days[:i], day) {
			v.Reportf(dayPath, "%q is listed twice", day)
		}
	}
	hasStart, hasEnd := v.Has(path+".start"), v.Has(path+".end")
	switch {
	case hasStart && !hasEnd:
		v.Reportf(path+".end", "is required because start is given")
	case hasEnd && !hasStart:
		v.Reportf(path+".start", "is required because end is given")
	}
	v.checkTimeOfDay(path+".start", w.Start)
	v.checkTimeOfDay(path+".end", w.End)
}

func (v *validator) checkTimeOfDay(path, text string) {
	if v.Has(path) && !timeOfDayPattern.MatchString(text) {
		v.Reportf(path, "must be a UTC time of day such as \"22:30\"")
	}
}

// String returns a description of the window.
func (w Window) String() string {
	if w.Always() {
		return "always"
	}
	days := "every day"
	if len(w.Days) > 0 {
		days = strings.Join(w.Days, ", ")
	}
	if w.Start == "" {
		return days + ", whole day, UTC"
	}
	return fmt.Sprintf("%s from %s to %s UTC", days, w.Start, w.End)
}

// maintenance compares the maintenance settings.
func (d *changeCollector) maintenance(old, updated Maintenance) {
	if from, to := old.Window.String(), updated.Window.String(); from != to {
		d.warn(KindMaintenanceChanged, "window", "maintenance window is %s instead of %s", to, from)
	}
	compare := func(name string, from, to int) {
		if from != to {
			d.warn(KindMaintenanceChanged, name, "maintenance %s is %s from %d to %d",
				name, direction(int64(from), int64(to)), from, to)
		}
	}
	compare("drain_seconds", old.DrainSeconds, updated.DrainSeconds)
	compare("reboot_seconds", old.RebootSeconds, updated.RebootSeconds)
	compare("probe_seconds", old.ProbeSeconds, updated.ProbeSeconds)
	compare("pause_after_failures", old.PauseAfterFailures, updated.PauseAfterFailures)
}
