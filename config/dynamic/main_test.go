package dynamic

import (
	"testing"

	"hyssopbridge/internal/propertytest"
)

// TestMain fixes the seed of the property tests, unless one is given.
func TestMain(m *testing.M) { propertytest.Main(m, "20300101", nil) }
