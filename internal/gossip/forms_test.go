package gossip

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const recordedSecret = "recorded"

// fill sets all fields of v to values that differ from each other and from zero.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Uint8:
		v.SetUint(uint64(*next % 256))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") != "-" {
				fill(v.Field(i), next)
			}
		}
	default:
		panic(v.Kind())
	}
}

// filledUpdate returns an update with the fields of a form. The others are empty.
func filledUpdate(form Form) *Update {
	u, next := &Update{}, 0
	v, fields := reflect.ValueOf(u).Elem(), Form(0)
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") != "-" && fields < form {
			fields++
			fill(v.Field(i), &next)
		}
	}
	return u
}

// recorded returns the datagram of filledUpdate that the first build with the form has encoded.
func recorded(t *testing.T, form Form) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", fmt.Sprintf("update-%d.hex", form)))
	assert.NilError(t, err, "record the bytes of a new form")
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	assert.NilError(t, err)
	return b
}

// Builds that are in service decode only the bytes that they encode themselves. A change of the format without a new
// form, or without its recorded bytes, fails here.
func TestFormsAreThoseOfTheBuildsInService(t *testing.T) {
	for form := FormSoftware; form <= CurrentForm; form++ {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			want := recorded(t, form)
			got, err := EncodeForm(filledUpdate(CurrentForm), form, []byte(recordedSecret))
			assert.NilError(t, err)
			assert.Equal(t, hex.EncodeToString(got), hex.EncodeToString(want))

			u, _, err := Decode(want, []byte(recordedSecret))
			assert.NilError(t, err)
			expected := filledUpdate(form)
			expected.Form, expected.SentForm = form, form
			assert.DeepEqual(t, u, expected)
		})
	}
}

// A relay passes on an update in the form of its receivers, which learn the form of its sender, also if the update
// passes two relays.
func TestRelayedUpdatesAreConverted(t *testing.T) {
	for from := FormSoftware; from <= CurrentForm; from++ {
		for by := FormSoftware; by <= CurrentForm; by++ {
			for to := FormSoftware; to <= CurrentForm; to++ {
				b, err := ConvertRelayed(recorded(t, from), by)
				assert.NilError(t, err)
				b, err = ConvertRelayed(b, to)
				assert.NilError(t, err)
				u, err := DecodeRelayed(b)
				assert.NilError(t, err)
				expected := filledUpdate(min(from, by, to))
				expected.Form, expected.SentForm = to, from
				assert.DeepEqual(t, u, expected)
			}
		}
	}
	u, err := DecodeRelayed(recorded(t, CurrentForm))
	assert.NilError(t, err)
	assert.Equal(t, u.SentForm, CurrentForm)
}

// Updates of later builds have more fields. Those that are known are read, whatever the others hold.
func TestFieldsOfLaterBuildsAreSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload, err := cbor.Marshal(filledUpdate(CurrentForm))
		assert.NilError(t, err)
		var fields []cbor.RawMessage
		assert.NilError(t, cbor.Unmarshal(payload, &fields))
		count := rapid.IntRange(0, int(maxForm)+4).Draw(t, "fields")
		for len(fields) < count {
			added, err := cbor.Marshal(rapid.SampledFrom([]any{1, "text", nil, []int{1, 2}, map[string]int{"a": 1}, 2.5, true}).Draw(t, "field"))
			assert.NilError(t, err)
			fields = append(fields, added)
		}
		b, err := seal(kindUpdate, fields[:count], nil)
		assert.NilError(t, err)
		u, _, err := Decode(b, nil)
		if Form(count) < FormSoftware || Form(count) > maxForm {
			assert.ErrorIs(t, err, errNoForm)
			return
		}
		assert.NilError(t, err)
		expected := filledUpdate(Form(count))
		expected.Form = Form(count)
		expected.SentForm = expected.Form
		assert.DeepEqual(t, u, expected)
	})
}

// An update that is cut short, or has a field of another type, is refused as a whole.
func TestBrokenUpdatesAreRefused(t *testing.T) {
	payload, err := cbor.Marshal(filledUpdate(CurrentForm))
	assert.NilError(t, err)
	for end := range payload {
		_, err := decodeUpdate(append([]byte{kindUpdate}, payload[:end]...))
		assert.Assert(t, err != nil, "%d bytes", end)
	}
	var fields []cbor.RawMessage
	assert.NilError(t, cbor.Unmarshal(payload, &fields))
	for i := range fields {
		broken := append([]cbor.RawMessage{}, fields...)
		broken[i] = cbor.RawMessage{0xa1, 0x01, 0x02} // a map
		b, err := seal(kindUpdate, broken, nil)
		assert.NilError(t, err)
		_, _, err = Decode(b, nil)
		assert.Assert(t, err != nil, "field %d", i)
	}
}
