package record

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestRecordRoundTrip guards against a codec that loses fields.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Record{Writer: "entry-1", Incarnation: "a", Seq: 3, Ops: []Op{
		{SessionRenew: &SessionRenew{}},
		{JobAccept: &JobAccept{Job: "j", Team: "t", Service: "s", Body: []byte("x")}},
	}}
	data, err := Encode(in)
	is.NoErr(err)
	out, err := Decode(data)
	is.NoErr(err)
	in.Schema = SchemaVersion
	is.Equal(out, in)
	is.Equal(out.Ops[1].Kind(), KindJobAccept)
}

// TestDecodeRejects guards against malformed records that change the state, and against records of a newer schema that
// are applied or counted as malformed.
func TestDecodeRejects(t *testing.T) {
	for name, data := range map[string]string{
		"empty":         ``,
		"not an object": `[]`,
		"no writer":     `{"schema":1,"incarnation":"a","seq":1,"ops":[{"session_renew":{}}]}`,
		"seq zero":      `{"schema":1,"writer":"w","incarnation":"a","seq":0,"ops":[{"session_renew":{}}]}`,
		"no ops":        `{"schema":1,"writer":"w","incarnation":"a","seq":1,"ops":[]}`,
		"two kinds": `{"schema":1,"writer":"w","incarnation":"a","seq":1,` +
			`"ops":[{"session_renew":{},"session_close":{}}]}`,
		"unknown op":    `{"schema":1,"writer":"w","incarnation":"a","seq":1,"ops":[{"launch":{}}]}`,
		"trailing data": `{"schema":1,"writer":"w","incarnation":"a","seq":1,"ops":[{"session_renew":{}}]} {}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(data))
			is.True(errors.Is(err, ErrMalformed))
		})
	}
	is := is.New(t)
	_, err := Decode([]byte(`{"schema":2,"writer":"w","new_field":1}`))
	var newer *NewerSchemaError
	is.True(errors.As(err, &newer))
}

// FuzzDecode guards against panics on arbitrary bytes and against decoded records that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"schema":1,"writer":"w","incarnation":"a","seq":1,"ops":[{"session_renew":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(r); err != nil {
			t.Fatalf("a decoded record cannot be encoded: %v", err)
		}
	})
}
