package dispatch

import "context"

// waveDriver takes instances through the waves that the operator asks for.
type waveDriver struct{ d *Dispatcher }

func newWaveDriver(d *Dispatcher) *waveDriver { return &waveDriver{d: d} }

func (w *waveDriver) run(ctx context.Context) { <-ctx.Done() }
