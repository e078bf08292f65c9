package process

import (
	"context"
	"errors"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// run starts an effect; p.mu is held, so it must not block.
func (p *Process) run(effect event.Effect) {
	switch e := effect.(type) {
	case event.SendToBackend:
		p.deliver(e.Request, effect)
	case event.CarryToEntry:
		p.deliver(e.Request, effect)
	case event.CancelAttempt:
		p.deliver(e.Request, effect)
	case event.RelayResponse:
		p.deliver(e.Request, effect)
	case event.Refuse:
		p.deliver(e.Request, effect)
	case event.GrantLinkBytes:
		p.grant(e)
	case event.PublishEntries:
		p.membersChanged(e)
	case event.ProbeBackend:
		p.start(func(ctx context.Context) { p.probe(ctx, e.Backend) })
	case event.ReadDocument:
		p.start(func(ctx context.Context) { p.readDocument(ctx, e) })
	case event.WriteDocument:
		p.start(func(ctx context.Context) { p.writeDocument(ctx, e) })
	case event.SendToPeer:
		p.sending.Add(1)
		p.start(func(ctx context.Context) { p.sendToPeer(ctx, e) })
	case event.WriteLog:
		p.log.Log(logLevel(e.Level), e.Message, logFields(e.Fields)...)
	case event.ReportViolation:
		p.metrics.InvariantViolated(e.Name)
		p.log.Error("invariant violated", zap.String("invariant", e.Name), zap.String("detail", e.Detail))
	default:
		p.log.Error("effect is not known", zap.Any("effect", effect))
	}
}

func (p *Process) deliver(id event.RequestID, effect event.Effect) {
	if sink := p.sinks[id]; sink != nil {
		sink.Deliver(effect)

		return
	}
	// Each send must be answered by an end, also when the request has left.
	switch e := effect.(type) {
	case event.SendToBackend:
		p.start(func(context.Context) { p.endUnsent(e.Request, e.Attempt) })
	case event.CarryToEntry:
		p.start(func(context.Context) { p.endUnsent(e.Request, e.Attempt) })
	}
}

func (p *Process) grant(e event.GrantLinkBytes) {
	p.streamMu.Lock()
	sink := p.streams[e.Stream]
	p.streamMu.Unlock()
	if sink != nil {
		sink.Deliver(e)
	}
}

func (p *Process) endUnsent(id event.RequestID, attempt event.AttemptID) {
	p.Apply(event.AttemptEnded{At: p.at(), Request: id, Attempt: attempt, Result: event.ResultCanceled})
}

// start runs work beside the reducer until the process ends.
func (p *Process) start(work func(ctx context.Context)) {
	p.work.Go(func() { work(p.ctx) })
}

func (p *Process) at() event.At {
	return event.At(p.clock.Now())
}

func (p *Process) readDocument(ctx context.Context, e event.ReadDocument) {
	doc, err := p.store.Read(ctx, e.Key)
	p.Apply(event.DocumentRead{At: p.at(), Key: e.Key, Version: doc.Version, Value: doc.Value, Failed: err != nil})
}

func (p *Process) writeDocument(ctx context.Context, e event.WriteDocument) {
	version, err := p.store.Write(ctx, e.Key, e.ExpectedVersion, e.Value)
	p.Apply(event.DocumentWritten{At: p.at(), Key: e.Key, Nonce: e.Nonce, Result: writeResult(err), Version: version})
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
