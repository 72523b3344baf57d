package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Maintenance is when and how maintenance waves run.
type Maintenance struct {
	Window Window `yaml:"window,omitempty"`
	// DrainSeconds is how long work on a cordoned instance may take to end before its tasks are checkpointed.
	DrainSeconds int `yaml:"drain_seconds" jsonschema:"minimum=1,maximum=86400"`
	// RebootSeconds is how long an instance may be away.
	RebootSeconds int `yaml:"reboot_seconds" jsonschema:"minimum=1,maximum=86400"`
	// ProbeSeconds is how long an instance that is back may take to answer.
	ProbeSeconds int `yaml:"probe_seconds" jsonschema:"minimum=1,maximum=3600"`
	// PauseAfterFailures is the number of failures in a row, or within one rack or availability zone, that pauses a wave.
	PauseAfterFailures int `yaml:"pause_after_failures" jsonschema:"minimum=1,maximum=100"`
}

// Window is the part of the week in which instances may be down. Without days, start and end it is always open.
type Window struct {
	// Days are the days on which the window begins, empty for every day.
	Days []string `yaml:"days"`
	// Start and End are UTC times of day, such as 22:30. An end that is not after the start is on the next day.
	Start string `yaml:"start" jsonschema:"pattern=^([01][0-9]|2[0-3]):[0-5][0-9]$"`
	End   string `yaml:"end" jsonschema:"pattern=^([01][0-9]|2[0-3]):[0-5][0-9]$"`
}

// DefaultMaintenance returns what holds where the document names nothing. A pause after two failures follows the design: one
// failure in some 60 restarts a day is normal, two in a row point to the change that the wave rolls out.
func DefaultMaintenance() Maintenance {
	return Maintenance{DrainSeconds: 600, RebootSeconds: 600, ProbeSeconds: 60, PauseAfterFailures: 2}
}

// DrainTimeout is the longest drain before tasks are checkpointed.
func (m Maintenance) DrainTimeout() time.Duration { return time.Duration(m.DrainSeconds) * time.Second }

// RebootTimeout is the longest absence of an instance.
func (m Maintenance) RebootTimeout() time.Duration {
	return time.Duration(m.RebootSeconds) * time.Second
}

// ProbeTimeout is the longest time until an instance that is back answers.
func (m Maintenance) ProbeTimeout() time.Duration { return time.Duration(m.ProbeSeconds) * time.Second }

// MaxAbsence bounds the time from the cordon of an instance to its return: the drain, as much again for tasks to be
// checkpointed and moved, the reboot and the probe.
func (m Maintenance) MaxAbsence() time.Duration {
	return 2*m.DrainTimeout() + m.RebootTimeout() + m.ProbeTimeout()
}

// clockLayout is the form of a time of day.
const clockLayout = "15:04"

var clockPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)

// weekdays are the names of the days, by time.Weekday.
var weekdays = []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"}

// Always reports whether the window never closes.
func (w Window) Always() bool { return w.Start == "" && w.End == "" && len(w.Days) == 0 }

// daysAhead is how far Closes follows windows that adjoin each other, such as whole days.
const daysAhead = 7

// Closes returns when the window that is open at now closes, or false if none is open. Windows that adjoin or overlap count
// as one. Always must be false.
func (w Window) Closes(now time.Time) (time.Time, bool) {
	now = now.UTC()
	today := time.Date(now.Year(), now.Month(), now.Day(), 0, 0, 0, 0, time.UTC)
	var latest time.Time
	// A window that began yesterday may still be open.
	for n := -1; n <= daysAhead; n++ {
		day := today.AddDate(0, 0, n)
		begin, end := w.on(day)
		openNow := !now.Before(begin) && now.Before(end)
		adjoins := !latest.IsZero() && !begin.After(latest)
		if w.beginsOn(day.Weekday()) && (openNow || adjoins) && end.After(latest) {
			latest = end
		}
	}
	return latest, !latest.IsZero()
}

func (w Window) on(day time.Time) (begin, end time.Time) {
	begin, end = day.Add(timeOfDay(w.Start)), day.Add(timeOfDay(w.End))
	if !end.After(begin) {
		end = end.AddDate(0, 0, 1)
	}
	return begin, end
}

func (w Window) beginsOn(day time.Weekday) bool {
	return len(w.Days) == 0 || slices.Contains(w.Days, weekdays[day])
}

// timeOfDay returns 0 for a missing time, so that a window with days only lasts the whole day.
func timeOfDay(text string) time.Duration {
	t, err := time.Parse(clockLayout, text)
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
	v.checkClock(path+".start", w.Start)
	v.checkClock(path+".end", w.End)
}

func (v *validator) checkClock(path, text string) {
	if v.Has(path) && !clockPattern.MatchString(text) {
		v.Reportf(path, "must be a UTC time of day such as \"22:30\"")
	}
}

// String describes the window.
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

// maintenance compares how maintenance waves run.
func (d *differ) maintenance(old, new Maintenance) {
	if from, to := old.Window.String(), new.Window.String(); from != to {
		d.warn(KindMaintenanceChanged, "window", "maintenance window is %s instead of %s", to, from)
	}
	number := func(name string, from, to int) {
		if from != to {
			d.warn(KindMaintenanceChanged, name, "maintenance %s is %s from %d to %d", name, direction(int64(from), int64(to)), from, to)
		}
	}
	number("drain_seconds", old.DrainSeconds, new.DrainSeconds)
	number("reboot_seconds", old.RebootSeconds, new.RebootSeconds)
	number("probe_seconds", old.ProbeSeconds, new.ProbeSeconds)
	number("pause_after_failures", old.PauseAfterFailures, new.PauseAfterFailures)
}
