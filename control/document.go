package control

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/tailscale/hujson"

	"hyssopbridge/config/manifest"
)

// EncodeDocument encodes a manifest, given as JSON with comments, for a record:
// comments and white space are removed and the result is compressed with
// DEFLATE. The log, the nodes' memory and state transfers hold this form.
func EncodeDocument(source []byte) ([]byte, error) {
	min, err := hujson.Minimize(bytes.Clone(source))
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	if len(min) > MaxDocumentBytes {
		return nil, fmt.Errorf("encode document: %d bytes exceed %d", len(min), MaxDocumentBytes)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	if _, err := w.Write(min); err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return out.Bytes(), nil
}

// inflaters pools decompressors, since allocating one takes 40 KB.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// DocumentSource decodes a document to its JSON text.
func DocumentSource(document []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	err := r.(flate.Resetter).Reset(bytes.NewReader(document), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: document: %w", ErrBadRecord, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: document: %w", ErrBadRecord, err)
	}
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("%w: document exceeds %d bytes", ErrBadRecord, MaxDocumentBytes)
	}
	return text, nil
}

// decodeManifest parses an encoded document for the fold: it ignores unknown
// keys and checks only what the fold relies on.
func decodeManifest(document []byte) (*manifest.Manifest, error) {
	text, err := DocumentSource(document)
	if err != nil {
		return nil, err
	}
	var m manifest.Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("%w: document: %w", ErrBadRecord, err)
	}
	if err := checkServices(&m); err != nil {
		return nil, err
	}
	m.SetDefaults()
	return &m, nil
}

func checkServices(m *manifest.Manifest) error {
	seen := make(map[string]bool, len(m.Services))
	for i := range m.Services {
		name := m.Services[i].Name
		if err := checkName("service", name); err != nil {
			return err
		}
		if seen[name] {
			return fmt.Errorf("%w: service %q appears twice", ErrBadRecord, name)
		}
		seen[name] = true
	}
	return nil
}
