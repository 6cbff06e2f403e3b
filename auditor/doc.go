// Package auditor contains the fault matrix: which test covers which invariant under which fault. The matrix is a table in
// the package's tests, which check that every test it names exists and that docs/FAULTS.md shows the same table.
package auditor
