package mesh

import (
	"testing"

	"hyssopbridge/internal/propertytest"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	propertytest.Main(m, "20300101", map[string]string{"rapid.steps": "250"})
}
