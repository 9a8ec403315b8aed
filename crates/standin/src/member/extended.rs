//! Extended query protocol: prepared statements and portals.

use std::rc::Rc;

use pgwire::messages::{data, extendedquery, response};

use crate::member::{
    error, execute, log, output, query, session, session::Session, statement, types,
};

impl Session {
    pub(super) fn parse(&mut self, parse: &extendedquery::Parse) -> Result<(), error::SqlError> {
        let mut commands = statement::parse(&parse.query)?;
        if commands.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(error::SqlError::new(error::SYNTAX_ERROR, message));
        }
        let command = commands.pop().unwrap_or(statement::Command::Empty);
        let name = parse.name.as_deref().unwrap_or_default();
        if !name.is_empty() && self.statements.get(name).is_some() {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(error::SqlError::new("42P05", message));
        }
        let param_types = match &command {
            statement::Command::Sql(sql) => {
                let connection = self.transaction.connection()?;
                connection.prepare_cached(&sql.text)?;
                query::param_types(connection, sql, &parse.type_oids)
            }
            _ => Vec::new(),
        };
        let prepared = Rc::new(session::PreparedStatement {
            command,
            param_types,
            columns: std::cell::OnceCell::new(),
        });
        self.statements.insert(name, prepared);
        self.out.put(extendedquery::ParseComplete::new());
        Ok(())
    }

    pub(super) fn bind(&mut self, bind: extendedquery::Bind) -> Result<(), error::SqlError> {
        let prepared = self.find_statement(bind.statement_name.as_deref())?;
        if bind.parameters.len() != prepared.param_types.len() {
            let message = format!(
                "bind message supplies {} parameters, but prepared statement requires {}",
                bind.parameters.len(),
                prepared.param_types.len()
            );
            return Err(error::SqlError::new(error::PROTOCOL_VIOLATION, message));
        }
        let formats = output::Formats::new(bind.parameter_format_codes);
        let params: Result<Vec<log::Value>, error::SqlError> = bind
            .parameters
            .iter()
            .zip(&prepared.param_types)
            .enumerate()
            .map(|(index, (bytes, kind))| {
                types::decode(bytes.as_deref(), *kind, formats.code_at(index))
            })
            .collect();
        let portal = session::Portal {
            columns: prepared.columns.get().cloned(),
            prepared,
            params: params?,
            formats: output::Formats::new(bind.result_column_format_codes),
            pending: None,
        };
        let name = bind.portal_name.unwrap_or_default();
        self.portals.insert(&name, portal);
        self.out.put(extendedquery::BindComplete::new());
        Ok(())
    }

    pub(super) fn describe(
        &mut self,
        describe: &extendedquery::Describe,
    ) -> Result<(), error::SqlError> {
        let name = describe.name.as_deref();
        if describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
            return self.describe_statement(name);
        }
        let name = name.unwrap_or_default();
        let portal = self.portals.get(name).ok_or_else(|| unknown_portal(name))?;
        let prepared = Rc::clone(&portal.prepared);
        let formats = portal.formats.clone();
        let columns = match &portal.columns {
            Some(columns) => columns.clone(),
            None => {
                let params = portal.params.clone();
                self.describe_columns(&prepared.command, &params)?
            }
        };
        if let Some(portal) = self.portals.get_mut(name) {
            portal.columns = Some(columns.clone());
        }
        self.send_columns(&columns, &formats);
        Ok(())
    }

    fn describe_statement(&mut self, name: Option<&str>) -> Result<(), error::SqlError> {
        let prepared = self.find_statement(name)?;
        let columns = match prepared.columns.get() {
            Some(columns) => columns.clone(),
            None => self.describe_columns(&prepared.command, &[])?,
        };
        let columns = prepared.columns.get_or_init(|| columns);
        let oids = prepared.param_types.iter().map(|kind| kind.oid()).collect();
        self.out.put(data::ParameterDescription::new(oids));
        self.send_columns(columns, &output::Formats::default());
        Ok(())
    }

    fn send_columns(&mut self, columns: &[output::Column], formats: &output::Formats) {
        if columns.is_empty() {
            self.out.put(data::NoData::new());
        } else {
            self.out.put_row_description(columns, formats);
        }
    }

    fn describe_columns(
        &mut self,
        command: &statement::Command,
        params: &[log::Value],
    ) -> Result<Vec<output::Column>, error::SqlError> {
        match command {
            statement::Command::Sql(sql) => {
                let connection = self.transaction.connection()?;
                query::described_columns(connection, sql, params)
            }
            command => Ok(execute::fixed_columns(command)),
        }
    }

    pub(super) fn execute_portal(
        &mut self,
        message: &extendedquery::Execute,
    ) -> Result<(), error::SqlError> {
        let name = message.name.as_deref().unwrap_or_default();
        let mut portal = self
            .portals
            .remove(name)
            .ok_or_else(|| unknown_portal(name))?;
        let limit = usize::try_from(message.max_rows)
            .ok()
            .filter(|limit| *limit > 0)
            .unwrap_or(usize::MAX);
        if portal.pending.is_none() && !self.start_portal(&mut portal, limit)? {
            return Ok(());
        }
        let Some(pending) = &mut portal.pending else {
            return Ok(());
        };
        let count = pending.rows.len().min(limit);
        for row in pending.rows.drain(..count) {
            self.out.put(row);
        }
        if pending.rows.is_empty() {
            let tag = pending.tag.clone();
            self.out.put_command_complete(&tag);
        } else {
            self.out.put(extendedquery::PortalSuspended::new());
        }
        self.portals.insert(name, portal);
        Ok(())
    }

    /// Runs a portal's statement. Returns false if its answer is already complete, or if the caller must send COPY data
    /// first; otherwise unsent rows and the command tag remain to be sent.
    fn start_portal(
        &mut self,
        portal: &mut session::Portal,
        limit: usize,
    ) -> Result<bool, error::SqlError> {
        let prepared = Rc::clone(&portal.prepared);
        if prepared.command == statement::Command::Empty {
            self.out.put(response::EmptyQueryResponse::new());
            return Ok(false);
        }
        let row_request = query::RowRequest {
            columns: Some(match &portal.columns {
                Some(columns) => columns.clone(),
                None => self.describe_columns(&prepared.command, &portal.params)?,
            }),
            formats: portal.formats.clone(),
            // With a limit, the portal keeps all rows, and they are sent from there.
            limit: if limit == usize::MAX { limit } else { 0 },
        };
        let outcome = self.execute(&prepared.command, &portal.params, &row_request)?;
        if let execute::Outcome::Done { tag, unsent_rows } = outcome {
            portal.pending = Some(session::PendingRows {
                rows: unsent_rows,
                tag,
            });
            return Ok(true);
        }
        self.out.flush();
        Ok(false)
    }

    fn find_statement(
        &self,
        name: Option<&str>,
    ) -> Result<Rc<session::PreparedStatement>, error::SqlError> {
        let name = name.unwrap_or_default();
        self.statements.get(name).cloned().ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            error::SqlError::new(error::INVALID_STATEMENT_NAME, message)
        })
    }
}

fn unknown_portal(name: &str) -> error::SqlError {
    let message = format!("portal \"{name}\" does not exist");
    error::SqlError::new(error::INVALID_CURSOR_NAME, message)
}
