//! The log: one line an event.

use std::io::Write;

use fulmarlift_proxy::settings;

/// Starts the log on standard error. `RUST_LOG` sets the level, `info` by default.
pub fn init(format: settings::LogFormat) {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if format == settings::LogFormat::Json {
        builder.format(|out, record| {
            let line = serde_json::json!({
                "time": out.timestamp_millis().to_string(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": record.args().to_string(),
            });
            writeln!(out, "{line}")
        });
    }
    builder.init();
}
