package conf

import (
	"bytes"
	"errors"
	"io"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// decode reads YAML strictly: an unknown field is an error that shows its line.
func decode(data []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(validator.New()))
	err := decoder.Decode(into)
	if errors.Is(err, io.EOF) {
		return errors.New("the file is empty")
	}
	return err
}
