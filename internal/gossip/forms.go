package gossip

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Form is the form of an update: the number of its fields. Instances of two builds exchange updates while the
// fleet is upgraded or rolled back. The rules of the format, which docs/design/users-platform.md explains:
//
//   - A field is added at the end of Update only, and none is removed, moved or given another meaning. The types
//     within the fields do not change.
//   - Fields that a build does not know are skipped; those that are missing are empty, which has to mean that
//     nothing is known.
//   - Builds up to FormLeaving decode their own number of fields only, and are sent their form.
type Form int

const (
	FormSoftware Form = 20 // up to Update.Software
	FormLeaving  Form = 21 // up to Update.EndpointsLeaving

	FormEvacuations  Form = 22 // up to Update.Evacuations
	FormObservations Form = 23 // up to Update.Observations
	FormDemand       Form = 24 // up to Update.Demand
	// CurrentForm is that of this build.
	CurrentForm = FormDemand
)

// maxForm bounds the fields of an update, so that garbage is not taken for a later form.
const maxForm Form = 64

const cborNull = 0xf6

// errNoForm means that bytes are no update of any form.
var errNoForm = errors.New("update has a form that no build sends")

// formOf returns the form of an encoded update.
func formOf(payload []byte) (form Form, err error) {
	const (
		array      = 0x80 // CBOR: an array with up to 23 elements
		longArray  = 0x98 // an array whose number of elements is in the next byte
		mostInHead = 23
	)
	switch {
	case len(payload) > 0 && payload[0] >= array && payload[0] <= array+mostInHead:
		form = Form(payload[0] - array)
	case len(payload) > 1 && payload[0] == longArray:
		form = Form(payload[1])
	}
	if form < FormSoftware || form > maxForm {
		return 0, errNoForm
	}
	return form, nil
}

// convert returns an encoded update in another form: fields that it does not have are left out, and those that are
// missing are empty.
func convert(payload []byte, to Form) ([]byte, error) {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(payload, &fields); err != nil {
		return nil, errors.Wrap(err, "decode fields of update")
	}
	if len(fields) > int(to) {
		fields = fields[:to]
	}
	for len(fields) < int(to) {
		fields = append(fields, cbor.RawMessage{cborNull})
	}
	return cbor.Marshal(fields)
}

// ConvertRelayed returns a datagram of a batch in another form. It keeps no signature of its own: that of the batch
// vouches for it. In its place is the form in which the sender encoded the update.
func ConvertRelayed(datagram []byte, to Form) ([]byte, error) {
	if len(datagram) <= macBytes || datagram[0] != kindUpdate {
		return nil, errors.New("datagram in a batch is no update")
	}
	body, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	sent, converted := convertedFrom(mac)
	if !converted {
		var err error
		if sent, err = formOf(body[1:]); err != nil {
			return nil, err
		}
	}
	payload, err := convert(body[1:], to)
	if err != nil {
		return nil, err
	}
	mark := conversionMark(sent)
	b := append(make([]byte, 0, 1+len(payload)+macBytes), kindUpdate)
	return append(append(b, payload...), mark[:]...), nil
}

// conversionMark stands in place of the signature of an update that a relay has converted.
func conversionMark(sent Form) [macBytes]byte { return [macBytes]byte{byte(sent)} }

// convertedFrom returns the form in which the sender encoded an update that a relay has converted.
func convertedFrom(mac []byte) (sent Form, converted bool) {
	sent = Form(mac[0])
	return sent, [macBytes]byte(mac) == conversionMark(sent)
}

// EncodeForm returns the datagram of u in a form, signed with the fleet's secret.
func EncodeForm(u *Update, form Form, secret []byte) ([]byte, error) {
	if form == CurrentForm {
		return Encode(u, secret)
	}
	v := reflect.ValueOf(*u)
	fields := make([]any, 0, form)
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") == "" && len(fields) < int(form) {
			fields = append(fields, v.Field(i).Interface())
		}
	}
	return seal(kindUpdate, fields, secret)
}
