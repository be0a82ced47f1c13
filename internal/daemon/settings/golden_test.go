package settings

import (
	"testing"

	"gopkg.in/yaml.v3"

	"woodworks/internal/daemon/golden"
)

func parse(content []byte, into any) (err error) {
	*into.(*Settings), err = Parse(content)
	return err
}

func TestKeysKeepTheirNames(t *testing.T) {
	golden.Codec[Settings](t, "all.yaml", yaml.Marshal, parse)
	defaults, err := yaml.Marshal(Defaults())
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "defaults.yaml", defaults)
}
