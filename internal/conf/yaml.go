package conf

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Decode decodes and validates YAML strictly: an unknown field is an error that shows its line. The YAML library panics
// on some invalid texts; Decode returns an error instead, since such a text would crash every host that reads it.
func Decode(data []byte, into any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the file can't be read as YAML (%v); look for stray tags, anchors and brackets", cause)
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(validator.New()))
	err = decoder.Decode(into)
	if errors.Is(err, io.EOF) {
		return errors.New("the file is empty")
	}
	return err
}
