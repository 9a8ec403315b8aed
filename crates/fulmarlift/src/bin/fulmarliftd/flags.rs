//! The daemon's command line. A flag takes precedence over its environment variable.

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
        /// Address for peers, IP:PORT, on TCP and UDP.
        optional --peer-listen address: String
        /// Address for operators, IP:PORT.
        optional --admin-listen address: String
        /// Addresses of other proxies, IP:PORT separated by commas.
        optional --peers addresses: String
        /// Address of the platform, http://IP:PORT.
        optional --platform url: String
        /// User name with which the proxy logs in to members.
        optional --member-user name: String
        /// File that holds the password for --member-user.
        optional --member-password-file path: String
        /// Maximum size of a message from a caller, in bytes.
        optional --max-frame-bytes bytes: String
        /// Login timeout for callers, in milliseconds.
        optional --login-timeout-ms ms: String
        /// File with the certificate chain presented to callers, PEM.
        optional --tls-chain path: String
        /// File with the private key of that certificate, PEM.
        optional --tls-key path: String
        /// File with the CA certificates trusted for members, PEM; when set, connections to members use TLS.
        optional --member-tls-roots path: String
        /// Log format: `text` or `json`.
        optional --log-format format: String
        /// Check the settings and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}

fn flag_or_variable(flag: &Option<String>, variable: &str) -> Option<String> {
    flag.clone().or_else(|| env::var(variable).ok())
}

impl Fulmarliftd {
    /// Returns the settings as unparsed text, from the flags and the environment.
    pub fn raw(&self) -> settings::Raw {
        settings::Raw {
            name: flag_or_variable(&self.name, "FULMARLIFT_NAME"),
            region: flag_or_variable(&self.region, "FULMARLIFT_REGION"),
            domain: flag_or_variable(&self.domain, "FULMARLIFT_DOMAIN"),
            listen: flag_or_variable(&self.listen, "FULMARLIFT_LISTEN"),
            peer_listen: flag_or_variable(&self.peer_listen, "FULMARLIFT_PEER_LISTEN"),
            admin_listen: flag_or_variable(&self.admin_listen, "FULMARLIFT_ADMIN_LISTEN"),
            peers: flag_or_variable(&self.peers, "FULMARLIFT_PEERS"),
            platform: flag_or_variable(&self.platform, "FULMARLIFT_PLATFORM"),
            member_user: flag_or_variable(&self.member_user, "FULMARLIFT_MEMBER_USER"),
            member_password_file: flag_or_variable(
                &self.member_password_file,
                "FULMARLIFT_MEMBER_PASSWORD_FILE",
            ),
            max_frame_bytes: flag_or_variable(&self.max_frame_bytes, "FULMARLIFT_MAX_FRAME_BYTES"),
            login_timeout_ms: flag_or_variable(
                &self.login_timeout_ms,
                "FULMARLIFT_LOGIN_TIMEOUT_MS",
            ),
            tls_chain: flag_or_variable(&self.tls_chain, "FULMARLIFT_TLS_CHAIN"),
            tls_key: flag_or_variable(&self.tls_key, "FULMARLIFT_TLS_KEY"),
            member_tls_roots: flag_or_variable(
                &self.member_tls_roots,
                "FULMARLIFT_MEMBER_TLS_ROOTS",
            ),
            log_format: flag_or_variable(&self.log_format, "FULMARLIFT_LOG_FORMAT"),
        }
    }
}
