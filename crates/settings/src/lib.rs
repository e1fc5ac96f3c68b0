//! A Starlark script to checked, typed settings.
