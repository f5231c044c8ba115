// Command measure measures the costs from which the capacity page is calculated.
//
//	measure run FILE           appends measurements to a file
//	measure report FILE PAGE   draws the plots and replaces the page's table
package main

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/capacity"
)

func main() {
	app := kingpin.New("measure", "Measures the costs from which the capacity page is calculated.")
	run := app.Command("run", "Append measurements to a file.")
	runFile := run.Arg("file", "File of tab-separated lines.").Required().String()
	report := app.Command("report", "Draw the plots and replace the table of the page.")
	reportFile := report.Arg("file", "File of measurements.").Required().ExistingFile()
	page := report.Arg("page", "Page with the marker lines around the table.").Required().ExistingFile()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		app.FatalIfError(measureAll(*runFile), "measure")
	case report.FullCommand():
		app.FatalIfError(writeReport(*reportFile, *page), "report")
	}
}

func measureAll(file string) error {
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // named by the caller
	if err != nil {
		return errors.Wrap(err, "measurements")
	}
	for _, measure := range []func() ([]*capacity.Series, error){
		routing, declarations, keeperRecords, acceptance, propagation, restart,
	} {
		series, err := measure()
		if err != nil {
			return err
		}
		for _, s := range series {
			if err := s.Write(out); err != nil {
				return errors.Wrap(err, "measurements")
			}
		}
	}
	return out.Close()
}

// Comment lines of the page between which the table is replaced.
var (
	tableStart = []byte("<!-- measured -->\n")
	tableEnd   = []byte("<!-- end of measured -->\n")
)

func writeReport(file, page string) error {
	in, err := os.Open(file) //nolint:gosec // named by the caller
	if err != nil {
		return errors.Wrap(err, "measurements")
	}
	defer func() { _ = in.Close() }() // the file was only read
	series, err := capacity.Read(in)
	if err != nil {
		return err
	}
	folder := filepath.Join(filepath.Dir(page), "capacity")
	for _, s := range series {
		if err := s.Plot(filepath.Join(folder, s.Name+".svg")); err != nil {
			return err
		}
	}
	text, err := os.ReadFile(page) //nolint:gosec // named by the caller
	if err != nil {
		return errors.Wrap(err, "page")
	}
	before, rest, ok := bytes.Cut(text, tableStart)
	_, after, ok2 := bytes.Cut(rest, tableEnd)
	if !ok || !ok2 {
		return errors.New("page lacks the marker lines around the table")
	}
	var table bytes.Buffer
	if err := capacity.Table(&table, series); err != nil {
		return err
	}
	updated := bytes.Join([][]byte{before, tableStart, table.Bytes(), tableEnd, after}, nil)
	return errors.Wrap(os.WriteFile(page, updated, 0o600), "page") //nolint:gosec // named by the caller
}
