package inifile

import (
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Bytes is a size in bytes. In files it is written with a unit: B, KiB, MiB or
// GiB.
type Bytes int64

// Peer identifies an instance to other processes: its name and the address of its peer listener,
// written "name@ip:port".
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Field describes one key that a tagged struct accepts.
type Field struct {
	Key      string
	Type     string
	Default  string
	Required bool
	Doc      string
}

// Fields lists the keys that the struct type of v accepts, in the order of its
// fields. Tags: ini (key), default, required ("true"), oneof (values separated by
// |), min, doc.
func Fields(v any) []Field {
	t := reflect.TypeOf(v)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var out []Field
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get("ini")
		if key == "" {
			continue
		}
		typ := typeName(f.Type)
		if words := f.Tag.Get("oneof"); words != "" {
			typ = "one of " + strings.ReplaceAll(words, "|", ", ")
		}
		out = append(out, Field{
			Key: key, Type: typ, Default: f.Tag.Get("default"),
			Required: f.Tag.Get("required") == "true", Doc: f.Tag.Get("doc"),
		})
	}
	return out
}

// Decode sets the tagged fields of the struct that v points to from the section's keys
// and the tags' defaults. It returns a finding for each key that is unknown, missing or
// has an invalid value.
func Decode(s *Section, v any) finding.List {
	var found finding.List
	dest := reflect.ValueOf(v).Elem()
	known := map[string]bool{}
	for i := range dest.NumField() {
		tag := dest.Type().Field(i).Tag
		name := tag.Get("ini")
		if name == "" {
			continue
		}
		known[name] = true
		decodeField(s, name, tag, dest.Field(i), &found)
	}
	for _, k := range s.keys {
		if !known[k.name] {
			found.Add(s.file, k.line, k.name, "unknown key in section [%s]", s.ID())
		}
	}
	return found
}

func decodeField(s *Section, name string, tag reflect.StructTag, field reflect.Value, found *finding.List) {
	key, ok := s.Lookup(name)
	if !ok {
		if tag.Get("required") == "true" {
			found.Add(s.file, s.line, name, "required key is missing from section [%s]", s.ID())
			return
		}
		key = Key{name: name, value: tag.Get("default"), line: s.line}
	}
	if key.value == "" && !ok {
		return
	}
	if words := tag.Get("oneof"); words != "" && !slices.Contains(strings.Split(words, "|"), key.value) {
		found.Add(s.file, key.line, name, "%q is not one of %s", key.value, strings.ReplaceAll(words, "|", ", "))
		return
	}
	if err := setValue(field, key.value); err != nil {
		found.Add(s.file, key.line, name, "%v", err)
		return
	}
	if err := checkMinimum(field, tag.Get("min")); err != nil {
		found.Add(s.file, key.line, name, "%v", err)
	}
}

func setValue(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case time.Duration:
		return setDuration(field, text)
	case Bytes:
		n, err := parseBytes(text)
		field.SetInt(int64(n))
		return err
	case netip.AddrPort:
		a, err := parseAddress(text)
		field.Set(reflect.ValueOf(a))
		return err
	case Peer:
		p, err := parsePeer(text)
		field.Set(reflect.ValueOf(p))
		return err
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.Errorf("%q is neither true nor false", text)
		}
		field.SetBool(b)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Errorf("%q is not a whole number", text)
		}
		field.SetInt(int64(n))
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", text)
		}
		field.SetFloat(x)
	case reflect.Slice:
		return setSlice(field, text)
	default:
		return errors.Errorf("no decoder for %s", field.Type())
	}
	return nil
}

func setSlice(field reflect.Value, text string) error {
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		item := reflect.New(field.Type().Elem()).Elem()
		if err := setValue(item, part); err != nil {
			return err
		}
		field.Set(reflect.Append(field, item))
	}
	return nil
}

func setDuration(field reflect.Value, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit, such as 250ms, 5s or 10m", text)
	}
	if d < 0 {
		return errors.Errorf("%q is negative", text)
	}
	field.SetInt(int64(d))
	return nil
}

var byteUnits = []struct {
	suffix string
	size   int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

func parseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 {
			break
		}
		if n > math.MaxInt64/u.size {
			return 0, errors.Errorf("%q is too large", text)
		}
		return Bytes(n * u.size), nil
	}
	return 0, errors.Errorf("%q is not a size with a unit, such as 64KiB or 8MiB", text)
}

func parseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, errors.Errorf("%q is not an IP number with a port (names are not resolved)", text)
	}
	return a, nil
}

func parsePeer(text string) (Peer, error) {
	name, address, ok := strings.Cut(text, "@")
	if !ok || name == "" {
		return Peer{}, errors.Errorf("%q is not of the form name@ip:port", text)
	}
	a, err := parseAddress(address)
	return Peer{Name: name, Address: a}, err
}

func checkMinimum(field reflect.Value, minimum string) error {
	if minimum == "" {
		return nil
	}
	limit, err := strconv.ParseFloat(minimum, 64)
	if err != nil {
		return errors.Wrap(err, "cannot parse minimum in struct tag")
	}
	var value float64
	if field.Kind() == reflect.Float64 {
		value = field.Float()
	} else {
		value = float64(field.Int())
	}
	if value < limit {
		return errors.Errorf("below the minimum of %s", minimum)
	}
	return nil
}

func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return "duration with unit"
	case reflect.TypeFor[Bytes]():
		return "size with unit"
	case reflect.TypeFor[netip.AddrPort]():
		return "ip:port"
	case reflect.TypeFor[Peer]():
		return "name@ip:port"
	}
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	case reflect.Float64:
		return "number"
	case reflect.Int:
		return "whole number"
	case reflect.Bool:
		return "true or false"
	default:
		return "text"
	}
}
