//! The daemon's command line. A flag goes before its environment variable.

use std::env;

use fulmarlift_proxy::settings;

xflags::xflags! {
    /// Database proxy with session consistency.
    ///
    /// Each flag may be given as an environment variable instead: --peer-listen as FULMARLIFT_PEER_LISTEN.
    cmd fulmarliftd {
        /// Name of the proxy.
        optional --name name: String
        /// Region in which the proxy runs.
        optional --region name: String
        /// Failure domain in which the proxy runs.
        optional --domain name: String
        /// Address for callers, IP:PORT.
        optional --listen address: String
        /// Address for peers, IP:PORT, TCP and UDP.
        optional --peer-listen address: String
        /// Address for operators, IP:PORT.
        optional --admin-listen address: String
        /// Addresses of other proxies, IP:PORT separated by commas.
        optional --peers addresses: String
        /// Address of the platform, http://IP:PORT.
        optional --platform url: String
        /// Account used at members.
        optional --member-user name: String
        /// File that holds the account's password.
        optional --member-password-file path: String
        /// Most bytes that one message of a caller may have.
        optional --max-frame-bytes bytes: String
        /// Time that callers are given to log in, in milliseconds.
        optional --login-timeout-ms ms: String
        /// Certificate chain shown to callers, PEM.
        optional --tls-chain path: String
        /// Key of the certificate, PEM.
        optional --tls-key path: String
        /// Certificates trusted at members, PEM; connections to members are encrypted when set.
        optional --member-tls-roots path: String
        /// Format of the log: `text` or `json`.
        optional --log-format format: String
        /// Check the settings and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}

fn or_env(flag: &Option<String>, variable: &str) -> Option<String> {
    flag.clone().or_else(|| env::var(variable).ok())
}

impl Fulmarliftd {
    /// Returns the settings as text.
    pub fn raw(&self) -> settings::Raw {
        settings::Raw {
            name: or_env(&self.name, "FULMARLIFT_NAME"),
            region: or_env(&self.region, "FULMARLIFT_REGION"),
            domain: or_env(&self.domain, "FULMARLIFT_DOMAIN"),
            listen: or_env(&self.listen, "FULMARLIFT_LISTEN"),
            peer_listen: or_env(&self.peer_listen, "FULMARLIFT_PEER_LISTEN"),
            admin_listen: or_env(&self.admin_listen, "FULMARLIFT_ADMIN_LISTEN"),
            peers: or_env(&self.peers, "FULMARLIFT_PEERS"),
            platform: or_env(&self.platform, "FULMARLIFT_PLATFORM"),
            member_user: or_env(&self.member_user, "FULMARLIFT_MEMBER_USER"),
            member_password_file: or_env(
                &self.member_password_file,
                "FULMARLIFT_MEMBER_PASSWORD_FILE",
            ),
            max_frame_bytes: or_env(&self.max_frame_bytes, "FULMARLIFT_MAX_FRAME_BYTES"),
            login_timeout_ms: or_env(&self.login_timeout_ms, "FULMARLIFT_LOGIN_TIMEOUT_MS"),
            tls_chain: or_env(&self.tls_chain, "FULMARLIFT_TLS_CHAIN"),
            tls_key: or_env(&self.tls_key, "FULMARLIFT_TLS_KEY"),
            member_tls_roots: or_env(&self.member_tls_roots, "FULMARLIFT_MEMBER_TLS_ROOTS"),
            log_format: or_env(&self.log_format, "FULMARLIFT_LOG_FORMAT"),
        }
    }
}
