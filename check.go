package main

import (
	"os"
	"path/filepath"

	"sapphiretray/config"
	"sapphiretray/settings"
	"sapphiretray/sheet"
)

// CheckCommand checks a settings file, a sheet or a configuration without the platform.
type CheckCommand struct {
	File   string `arg:"" help:"Settings (.yaml, .yml), sheet (.csv) or configuration (.json)."`
	Config string `help:"Configuration whose services a sheet may name; without it, only those that it creates." placeholder:"FILE"`
}

// Run prints that the file has no faults, or returns an error with all of them, which are printed as FILE:LINE:COLUMN: TEXT.
func (c *CheckCommand) Run(o *output) error {
	err := c.check()
	if err == nil {
		return o.write(map[string]any{"file": c.File, "faults": []string{}}, func() { o.printf("%s: no faults", c.File) })
	}
	return err
}

func (c *CheckCommand) check() error {
	switch filepath.Ext(c.File) {
	case ".yaml", ".yml":
		if _, err := settings.Load(c.File); err != nil {
			return fileError{c.File, err}
		}
	case ".csv":
		var options []sheet.Option
		if c.Config != "" {
			accepted, err := loadConfig(c.Config)
			if err != nil {
				return err
			}
			options = append(options, sheet.WithServices(serviceNames(accepted)...))
		}
		if _, err := sheet.Load(c.File, options...); err != nil {
			return fileError{c.File, err}
		}
	case ".json":
		_, err := loadConfig(c.File)
		return err
	default:
		return usageError{c.File + ": the file name must end in .yaml, .yml, .csv or .json"}
	}
	return nil
}

func loadConfig(path string) (config.Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return config.Config{}, err
	}
	c, err := config.Parse(content)
	if err != nil {
		return c, fileError{path, err}
	}
	return c, nil
}

func serviceNames(c config.Config) []string {
	var names []string
	for _, s := range c.Services() {
		names = append(names, s.Name())
	}
	return names
}
