"""The proxy: carries exchanges to endpoints that have no mark."""
