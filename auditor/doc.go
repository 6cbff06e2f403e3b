// Package auditor holds the fault matrix: which test proves which invariant under which fault. The matrix is a table in
// the package's tests, which check that every named test exists and that docs/FAULTS.md shows the same table.
package auditor
