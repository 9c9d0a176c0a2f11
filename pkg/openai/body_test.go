package openai_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"quaydock/pkg/openai"
	"quaydock/pkg/refusal"
)

func ExampleReadChat() {
	call, bad := openai.ReadChat([]byte(`{"model":"chart-small","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"depth?"}]}`))
	fmt.Println(call.Model, call.Stream, call.Decode, bad == nil)
	// Output: chart-small true 8 true
}

// FuzzReadChat checks that any body is either read with plausible estimates or refused with a body in the OpenAI
// form.
func FuzzReadChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`{"model":"m","messages":[],"max_tokens":9223372036854775807}`))
	f.Add([]byte(`{"model":"m","prompt":["a"],"max_completion_tokens":-1}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		for _, read := range []func([]byte) (openai.Call, *refusal.Refusal){openai.ReadChat, openai.ReadCompletion} {
			call, bad := read(document)
			if bad != nil {
				if bad.Outcome != refusal.NotRun || !json.Valid(bad.Body()) {
					t.Errorf("refusal %+v", bad)
				}
				continue
			}
			if call.Model == "" || call.Decode < 1 || call.Decode > 1<<20 || call.Prefill < 0 {
				t.Errorf("call %+v", call)
			}
		}
	})
}
