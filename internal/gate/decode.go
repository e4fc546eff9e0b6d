package gate

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

// decodeStrict decodes a single JSON value into out and validates it. Unknown fields,
// trailing data and invalid fields are errors of kind InvalidRequest.
func decodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return errkind.New(errkind.InvalidRequest, "cannot decode the request body: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.InvalidRequest, "the request body has more than one JSON value")
	}
	return checkFields(out)
}

// shapeRules limits the fields of a shape to values far above the size of any fleet, so that
// sums cannot overflow.
var shapeRules = map[string]string{
	"Cells":       "min=1,max=4096",
	"CellSize":    "min=0,max=4096",
	"CPU":         "min=0,max=4096",
	"MemoryBytes": "min=0,max=1125899906842624",
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	v.RegisterStructValidationMapRules(shapeRules, core.Shape{})
	// Registration fails only for an empty tag or a nil function.
	_ = v.RegisterValidation("request_id", func(f validator.FieldLevel) bool {
		return requestIDPattern.MatchString(f.Field().String())
	})
	return v
}

// checkFields validates a request body and returns one error that lists all invalid
// fields.
func checkFields(body any) error {
	err := validate.Struct(body)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return err
	}
	var reasons []string
	for _, f := range failed {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		reasons = append(reasons, strings.TrimSpace(path+": does not satisfy the rule "+f.Tag()+" "+f.Param()))
	}
	return errkind.New(errkind.InvalidRequest, "%s", strings.Join(reasons, "; "))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
