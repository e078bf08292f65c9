package units_test

import (
	"go/ast"
	"go/types"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/go/packages"
)

// Guards against conversions from floating point to integer types in the packages that
// decode what others send, which must use package units.
func TestDecodersUseCheckedConversions(t *testing.T) {
	t.Parallel()
	const module = "github.com/greengagetally/greengagetally/"
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedFiles,
	}, module+"platform", module+"internal/wire/http1", module+"internal/wire/gossip", module+"internal/run/mirror")
	require.NoError(t, err)
	require.Len(t, loaded, 4)
	for _, p := range loaded {
		require.Empty(t, p.Errors)
		for _, file := range p.Syntax {
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || len(call.Args) != 1 || !p.TypesInfo.Types[call.Fun].IsType() {
					return true
				}
				argument := p.TypesInfo.Types[call.Args[0]]
				// The compiler checks the range of constants.
				if argument.Value == nil && isBasic(argument.Type, types.IsFloat) && isBasic(p.TypesInfo.Types[call.Fun].Type, types.IsInteger) {
					t.Errorf("%s: conversion of a floating point number to an integer type", p.Fset.Position(n.Pos()))
				}

				return true
			})
		}
	}
}

// isBasic reports whether the underlying type has a property.
func isBasic(t types.Type, property types.BasicInfo) bool {
	basic, ok := t.Underlying().(*types.Basic)

	return ok && basic.Info()&property != 0
}
