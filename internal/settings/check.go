package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
)

// reasonByTag maps validation tags to the messages for failed checks; %s is the tag's
// parameter.
var reasonByTag = map[string]string{
	"required":      "is missing",
	"required_with": "is missing; it is needed with %s",
	"ip_port":       "is not an IP and port such as 127.0.0.1:7400",
	"hostname_port": "is not an address and port",
	"http_url":      "is not an http or https URL",
	"oneof":         "is none of: %s",
	"min":           "is below %s",
	"max":           "is above %s",
	"gtfield":       "is not above %s",
	"sha256":        "is not a SHA-256 in hexadecimal",
}

// newValidator returns a validator that reports fields by their YAML names and supports the
// validation tag ip_port.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if strings.Contains(options, "inline") {
			return inlineMarker
		}
		return name
	})
	// Registration fails only for an empty tag or a nil function.
	_ = v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
}

// inlineMarker is the name of an inlined struct in a field path; settingName removes it.
const inlineMarker = "<inline>"

// check validates out, a pointer to a settings struct. It returns one error for each invalid
// setting, with the setting's name as in the settings file.
func check(out any) []error {
	err := newValidator().Struct(out)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		if err != nil {
			return []error{trace.Wrap(err)}
		}
		return nil
	}
	var faults []error
	for _, f := range failed {
		faults = append(faults, fmt.Errorf("setting %s: %s", settingName(f.Namespace()), reason(f)))
	}
	return faults
}

// settingName returns a setting's path without the outermost struct and inlined structs.
func settingName(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.ReplaceAll(path, inlineMarker+".", "")
}

// reason returns the message for a failed check, with the value unless it is zero.
func reason(f validator.FieldError) string {
	text, ok := reasonByTag[f.Tag()]
	switch {
	case !ok:
		text = "fails the validation " + f.Tag() + " " + f.Param()
	case strings.Contains(text, "%s"):
		text = fmt.Sprintf(text, f.Param())
	}
	if f.Value() == nil || reflect.ValueOf(f.Value()).IsZero() {
		return text
	}
	return fmt.Sprintf("%v %s", f.Value(), text)
}

// FormatErrors returns the messages of an aggregated error, one per line.
func FormatErrors(err error) string {
	var aggregate trace.Aggregate
	if !errors.As(err, &aggregate) {
		return trace.UserMessage(err)
	}
	var lines []string
	for _, e := range aggregate.Errors() {
		lines = append(lines, trace.UserMessage(e))
	}
	return strings.Join(lines, "\n")
}

// Names returns the names of all settings of a settings struct, in the order of its fields.
// A nested setting is named a.b.
func Names(settings any) []string {
	return namesOf(reflect.TypeOf(settings), "")
}

func namesOf(typ reflect.Type, prefix string) []string {
	var names []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		switch {
		case strings.Contains(options, "inline"):
			names = append(names, namesOf(field.Type, prefix)...)
		case field.Type.Kind() == reflect.Struct:
			names = append(names, namesOf(field.Type, prefix+name+".")...)
		default:
			names = append(names, prefix+name)
		}
	}
	return names
}
