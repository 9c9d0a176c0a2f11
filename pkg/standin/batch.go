package standin

import (
	"time"
)

// begin queues a new sequence and starts run if it is not running. Without a step time it generates the whole answer
// at once, counts no prompt tokens and records no first token.
func (e *Engine) begin(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[s.id]++
	e.sequences[s.id] = s
	e.order = append(e.order, s.id)
	if len(e.order) > maxSequences {
		delete(e.sequences, e.order[0])
		delete(e.runs, e.order[0])
		delete(e.firstTokens, e.order[0])
		e.order = e.order[1:]
	}
	if e.settings.StepMS == 0 {
		for !s.done {
			s.emit()
		}
		return
	}
	e.queued = append(e.queued, s)
	if !e.stepping {
		e.stepping = true
		e.steps.Go(e.run)
	}
}

// run executes a step after each step time, until no sequence is active or queued.
func (e *Engine) run() {
	for {
		time.Sleep(e.stepTime())
		if !e.step() {
			return
		}
	}
}

// stepTime returns the time of the next step, slowdown included.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.StepMS.Duration() * time.Duration(e.slowdown)
}

// admit moves queued sequences into the batch until it is full, without the cached prefix of their prompts, and drops
// aborted ones. The caller holds e.mu.
func (e *Engine) admit() {
	for len(e.queued) > 0 && (e.settings.MaxBatch == 0 || len(e.active) < e.settings.MaxBatch) {
		if !e.queued[0].ended() {
			e.queued[0].prefill -= e.cache.cachedTokens(e.queued[0].blocks)
			e.active = append(e.active, e.queued[0])
		}
		e.queued[0] = nil
		e.queued = e.queued[1:]
	}
}

// step prefills at most PrefillPerStep tokens, in the order of admission, and generates a token for each sequence
// whose prompt is prefilled. It reports whether sequences remain; if none do, run is to end.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	budget := e.settings.PrefillPerStep
	kept := e.active[:0]
	for _, s := range e.active {
		taken := max(0, min(budget, s.prefill))
		s.prefill -= taken
		budget -= taken
		e.computed += taken
		if s.prefill <= 0 {
			e.recordFirstToken(s)
			s.emit()
		}
		if !s.ended() {
			kept = append(kept, s)
		}
	}
	clear(e.active[len(kept):])
	e.active = kept
	e.stepping = len(kept)+len(e.queued) > 0
	return e.stepping
}

// recordFirstToken records, once for each request id, when its prompt was prefilled, and caches that prompt. The
// caller holds e.mu.
func (e *Engine) recordFirstToken(s *sequence) {
	if _, found := e.firstTokens[s.id]; !found {
		e.firstTokens[s.id] = time.Now()
		e.cache.add(s.blocks)
	}
}
