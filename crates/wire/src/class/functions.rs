//! Classifies calls of SQL functions by their effect.

use sqlparser::ast::{
    Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, ObjectName, Value,
};

use crate::class::{PinReason, settings, visit};

/// Schema of PostgreSQL's built-in functions.
const SYSTEM_SCHEMA: &str = "pg_catalog";

/// Effect of a function call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// The call changes nothing.
    Read,
    /// The call changes data, or the function is unknown.
    Write,
    /// The call cannot run on a connection that sessions share.
    Pin(PinReason),
}

/// Returns the effect of a call by the name of the function alone.
pub fn effect_by_name(name: &ObjectName) -> CallEffect {
    let parts = visit::name_parts(name);
    let function = match parts.as_slice() {
        [function] => function,
        [schema, function] if &**schema == SYSTEM_SCHEMA => function,
        _ => return CallEffect::Write,
    };
    if let Ok(index) = PINNING.binary_search_by(|(name, _)| (*name).cmp(function)) {
        return CallEffect::Pin(PINNING[index].1);
    }
    match READ_ONLY.binary_search(&&**function) {
        Ok(_) => CallEffect::Read,
        Err(_) => CallEffect::Write,
    }
}

/// Returns the names of the control functions of a group's members.
pub(super) fn control_functions() -> impl Iterator<Item = &'static str> {
    let functions = PINNING.iter();
    functions
        .filter(|(_, reason)| *reason == PinReason::GroupControl)
        .map(|(name, _)| *name)
}

/// Returns the effect of a call by the name of the function and the arguments. `set_config` does not pin the connection
/// if it sets the parameter for the current transaction only.
pub(super) fn call_effect(call: &Function) -> CallEffect {
    match effect_by_name(&call.name) {
        CallEffect::Pin(PinReason::SetConfig) if call_changes_syntax(&call.args) => {
            CallEffect::Pin(PinReason::Syntax)
        }
        CallEffect::Pin(PinReason::SetConfig) if is_local(&call.args) => CallEffect::Write,
        other => other,
    }
}

/// Returns whether the third argument, `is_local` of `set_config`, is the literal `true`.
fn is_local(arguments: &FunctionArguments) -> bool {
    literal_argument(arguments, 2) == Some(&Value::Boolean(true))
}

/// Returns whether a call of `set_config` may change how the database reads SQL. A value that is no literal may be any.
fn call_changes_syntax(arguments: &FunctionArguments) -> bool {
    let text =
        |index| literal_argument(arguments, index).and_then(|value| value.clone().into_string());
    text(0).is_some_and(|name| match text(1) {
        Some(value) => settings::changes_syntax(&name, &value),
        None => settings::SYNTAX_PARAMETERS.contains(&name.to_ascii_lowercase().as_str()),
    })
}

/// Returns an argument that is a literal.
fn literal_argument(arguments: &FunctionArguments, index: usize) -> Option<&Value> {
    let FunctionArguments::List(list) = arguments else {
        return None;
    };
    match list.args.get(index)? {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(Expr::Value(value))) => Some(&value.value),
        _ => None,
    }
}

/// Functions that depend on the state of the session or change it, and control functions of members, sorted by name.
pub const PINNING: &[(&str, PinReason)] = &[
    ("currval", PinReason::SequenceValue),
    ("group_fence", PinReason::GroupControl),
    ("group_promote", PinReason::GroupControl),
    ("group_status", PinReason::GroupControl),
    ("lastval", PinReason::SequenceValue),
    ("member_switch", PinReason::GroupControl),
    ("pg_advisory_lock", PinReason::AdvisoryLock),
    ("pg_advisory_lock_shared", PinReason::AdvisoryLock),
    ("pg_advisory_unlock", PinReason::AdvisoryLock),
    ("pg_advisory_unlock_all", PinReason::AdvisoryLock),
    ("pg_advisory_unlock_shared", PinReason::AdvisoryLock),
    ("pg_listening_channels", PinReason::Listen),
    ("pg_try_advisory_lock", PinReason::AdvisoryLock),
    ("pg_try_advisory_lock_shared", PinReason::AdvisoryLock),
    ("set_config", PinReason::SetConfig),
];

/// Built-in functions of PostgreSQL that change nothing, sorted by name.
#[rustfmt::skip]
pub const READ_ONLY: &[&str] = &[
    "abs", "acos", "age", "any_value", "array", "array_agg", "array_append", "array_cat", "array_dims",
    "array_length", "array_lower", "array_ndims", "array_position", "array_positions", "array_prepend",
    "array_remove", "array_replace", "array_to_json", "array_to_string", "array_upper", "ascii", "asin", "atan",
    "atan2", "avg", "bit_and", "bit_count", "bit_length", "bit_or", "bit_xor", "bool_and", "bool_or", "btrim",
    "cardinality", "cbrt", "ceil", "ceiling", "char_length", "character_length", "chr", "clock_timestamp", "coalesce",
    "col_description", "concat", "concat_ws", "convert_from", "convert_to", "corr", "cos", "cot", "count",
    "covar_pop", "covar_samp", "cume_dist", "current_catalog", "current_database", "current_date", "current_role",
    "current_schema", "current_schemas", "current_setting", "current_time", "current_timestamp", "current_user",
    "date", "date_bin", "date_part", "date_trunc", "decode", "degrees", "dense_rank", "div", "encode", "every", "exp",
    "extract", "factorial", "first_value", "floor", "format", "format_type", "gcd", "gen_random_uuid",
    "generate_series", "generate_subscripts", "get_bit", "get_byte", "greatest", "grouping", "has_column_privilege",
    "has_database_privilege", "has_schema_privilege", "has_table_privilege", "initcap", "isfinite", "json_agg",
    "json_array_elements", "json_array_elements_text", "json_array_length", "json_build_array", "json_build_object",
    "json_each", "json_each_text", "json_extract_path", "json_extract_path_text", "json_object", "json_object_agg",
    "json_object_keys", "json_strip_nulls", "json_to_record", "json_to_recordset", "json_typeof", "jsonb_agg",
    "jsonb_array_elements", "jsonb_array_elements_text", "jsonb_array_length", "jsonb_build_array",
    "jsonb_build_object", "jsonb_each", "jsonb_each_text", "jsonb_extract_path", "jsonb_extract_path_text",
    "jsonb_insert", "jsonb_object", "jsonb_object_agg", "jsonb_object_keys", "jsonb_path_exists", "jsonb_path_match",
    "jsonb_path_query", "jsonb_path_query_array", "jsonb_path_query_first", "jsonb_pretty", "jsonb_set",
    "jsonb_strip_nulls", "jsonb_to_record", "jsonb_to_recordset", "jsonb_typeof", "justify_days", "justify_hours",
    "justify_interval", "lag", "last_value", "lcm", "lead", "least", "left", "length", "ln", "localtime",
    "localtimestamp", "log", "log10", "lower", "lower_inc", "lower_inf", "lpad", "ltrim", "make_date",
    "make_interval", "make_time", "make_timestamp", "make_timestamptz", "max", "md5", "min", "mod", "mode", "now",
    "nth_value", "ntile", "nullif", "num_nonnulls", "num_nulls", "obj_description", "octet_length", "overlay",
    "percent_rank", "percentile_cont", "percentile_disc", "pg_column_size", "pg_database_size", "pg_encoding_to_char",
    "pg_get_constraintdef", "pg_get_expr", "pg_get_functiondef", "pg_get_indexdef", "pg_get_keywords",
    "pg_get_serial_sequence", "pg_get_userbyid", "pg_get_viewdef", "pg_indexes_size", "pg_is_in_recovery",
    "pg_postmaster_start_time", "pg_relation_size", "pg_size_pretty", "pg_sleep", "pg_table_is_visible",
    "pg_table_size", "pg_total_relation_size", "pg_type_is_visible", "pg_typeof", "pi", "plainto_tsquery", "position",
    "power", "quote_ident", "quote_literal", "quote_nullable", "radians", "random", "rank", "regexp_count",
    "regexp_instr", "regexp_like", "regexp_match", "regexp_matches", "regexp_replace", "regexp_split_to_array",
    "regexp_split_to_table", "regexp_substr", "regr_avgx", "regr_avgy", "regr_count", "regr_intercept", "regr_r2",
    "regr_slope", "regr_sxx", "regr_sxy", "regr_syy", "repeat", "replace", "reverse", "right", "round", "row",
    "row_number", "row_to_json", "rpad", "rtrim", "scale", "session_user", "sha224", "sha256", "sha384", "sha512",
    "shobj_description", "sign", "sin", "split_part", "sqrt", "starts_with", "statement_timestamp", "stddev",
    "stddev_pop", "stddev_samp", "string_agg", "string_to_array", "string_to_table", "strpos", "substr", "substring",
    "sum", "tan", "timeofday", "to_ascii", "to_char", "to_date", "to_hex", "to_json", "to_jsonb", "to_number",
    "to_regclass", "to_regproc", "to_regtype", "to_timestamp", "to_tsquery", "to_tsvector", "transaction_timestamp",
    "translate", "trim", "trunc", "ts_headline", "ts_rank", "ts_rank_cd", "unnest", "upper", "upper_inc", "upper_inf",
    "user", "uuid_generate_v4", "var_pop", "var_samp", "variance", "version", "websearch_to_tsquery", "width_bucket",
    "xmlagg",
];
