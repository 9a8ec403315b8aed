//! Logging setup: each event is one line on standard error.

use std::io::Write;

use fulmarlift_proxy::settings;

/// Starts logging to standard error. `RUST_LOG` sets the level, which is `info` by default.
pub fn init(format: settings::LogFormat) {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if format == settings::LogFormat::Json {
        builder.format(|formatter, record| {
            let line = serde_json::json!({
                "time": formatter.timestamp_millis().to_string(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": record.args().to_string(),
            });
            writeln!(formatter, "{line}")
        });
    }
    builder.init();
}
