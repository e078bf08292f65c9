package process

import (
	"context"
	"errors"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// runEffect carries out an effect or starts it in a goroutine; p.mu is held, so
// it must not block.
func (p *Process) runEffect(effect event.Effect) {
	switch e := effect.(type) {
	case event.SendToBackend:
		p.deliverToRequest(e.Request, effect)
	case event.CarryToEntry:
		p.deliverToRequest(e.Request, effect)
	case event.CancelAttempt:
		p.deliverToRequest(e.Request, effect)
	case event.RelayResponse:
		p.deliverToRequest(e.Request, effect)
	case event.Refuse:
		p.deliverToRequest(e.Request, effect)
	case event.GrantLinkBytes:
		p.deliverGrant(e)
	case event.PublishEntries:
		p.publishEntries(e)
	case event.ProbeBackend:
		p.startGoroutine(func(ctx context.Context) { p.probe(ctx, e.Backend) })
	case event.ReadDocument:
		p.startGoroutine(func(ctx context.Context) { p.readDocument(ctx, e) })
	case event.WriteDocument:
		p.startGoroutine(func(ctx context.Context) { p.writeDocument(ctx, e) })
	case event.SendToPeer:
		p.sendsInProgress.Add(1)
		p.startGoroutine(func(ctx context.Context) { p.sendToPeer(ctx, e) })
	case event.WriteLog:
		p.log.Log(logLevel(e.Level), e.Message, logFields(e.Fields)...)
	case event.ReportViolation:
		p.metrics.InvariantViolated(e.Name)
		p.log.Error("invariant violated", zap.String("invariant", e.Name), zap.String("detail", e.Detail))
	default:
		p.log.Error("unknown effect", zap.Any("effect", effect))
	}
}

// deliverToRequest passes an effect to the sink of the request with this ID, if the
// request is still open.
func (p *Process) deliverToRequest(id event.RequestID, effect event.Effect) {
	if sink := p.sinks[id]; sink != nil {
		sink.Deliver(effect)

		return
	}
	// The reducer expects an AttemptEnded for each attempt that it starts, even
	// after CloseRequest.
	switch e := effect.(type) {
	case event.SendToBackend:
		p.startGoroutine(func(context.Context) { p.endUnsentAttempt(e.Request, e.Attempt) })
	case event.CarryToEntry:
		p.startGoroutine(func(context.Context) { p.endUnsentAttempt(e.Request, e.Attempt) })
	}
}

func (p *Process) deliverGrant(e event.GrantLinkBytes) {
	p.streamsMu.Lock()
	sink := p.streams[e.Stream]
	p.streamsMu.Unlock()
	if sink != nil {
		sink.Deliver(e)
	}
}

// endUnsentAttempt reports an attempt that was never sent as canceled.
func (p *Process) endUnsentAttempt(id event.RequestID, attempt event.AttemptID) {
	p.Apply(event.AttemptEnded{At: p.eventTime(), Request: id, Attempt: attempt, Result: event.ResultCanceled})
}

// startGoroutine runs work in a goroutine. closeAll cancels the context of work and
// waits for the goroutine.
func (p *Process) startGoroutine(work func(ctx context.Context)) {
	p.work.Go(func() { work(p.ctx) })
}

func (p *Process) eventTime() event.At {
	return event.At(p.clock.Now())
}

func (p *Process) readDocument(ctx context.Context, e event.ReadDocument) {
	doc, err := p.store.Read(ctx, e.Key)
	p.Apply(event.DocumentRead{At: p.eventTime(), Key: e.Key, Version: doc.Version, Value: doc.Value, Failed: err != nil})
}

func (p *Process) writeDocument(ctx context.Context, e event.WriteDocument) {
	version, err := p.store.Write(ctx, e.Key, e.ExpectedVersion, e.Value)
	p.Apply(event.DocumentWritten{At: p.eventTime(), Key: e.Key, Nonce: e.Nonce, Result: writeResult(err), Version: version})
}

func writeResult(err error) event.WriteResult {
	switch {
	case err == nil:
		return event.WriteDone
	case errors.Is(err, platform.ErrConflict):
		return event.WriteConflict
	case errors.Is(err, platform.ErrRefused):
		return event.WriteRefused
	default:
		return event.WriteUnknown
	}
}

func logLevel(level event.Level) zapcore.Level {
	switch level {
	case event.LevelDebug:
		return zapcore.DebugLevel
	case event.LevelWarn:
		return zapcore.WarnLevel
	default:
		return zapcore.InfoLevel
	}
}

func logFields(fields []event.Field) []zap.Field {
	out := make([]zap.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, zap.String(f.Key, f.Value))
	}

	return out
}
