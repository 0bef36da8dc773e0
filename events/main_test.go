package events

import (
	"testing"

	"hyssopbridge/internal/propertytest"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) { propertytest.Main(m, "20261204", nil) }
