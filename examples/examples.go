// Package examples embeds the example policies of the two first deployments,
// for the lab and for tests.
package examples

import _ "embed"

// OperatorPolicy is the policy of the Operator's floor. The callers' keys are
// their names.
//
//go:embed operator/operator.star
var OperatorPolicy string

// QarmoudPolicy is the policy of Qarmoud Arena's floor.
//
//go:embed qarmoud/qarmoud.star
var QarmoudPolicy string
