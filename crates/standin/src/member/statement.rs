//! Parses the statements of callers into commands, mostly by their first words.

use std::time::Duration;

use sqlparser::{dialect, tokenizer, tokenizer::Token};

use crate::member::{error, functions, infer, log, rewrite, types};

/// Command that a statement stands for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// An empty statement.
    Empty,
    /// Starts a transaction block.
    Begin {
        /// Whether the block refuses writes.
        read_only: bool,
    },
    /// Commits the transaction block.
    Commit,
    /// Rolls back the transaction block.
    Rollback,
    /// Sets a setting.
    Set {
        /// Name of the setting.
        name: Box<str>,
        /// New value of the setting.
        value: Box<str>,
        /// Whether the value lasts only until the end of the transaction.
        local: bool,
    },
    /// Returns the value of the named setting.
    Show(Box<str>),
    /// Resets the named setting, or all settings.
    Reset(Option<Box<str>>),
    /// Resets the settings and drops the prepared statements and portals of the session.
    Discard,
    /// Drops the named prepared statement, or all.
    Deallocate(Option<Box<str>>),
    /// Accepted without effect; the value is the command tag.
    Ignored(&'static str),
    /// Returns the member's status.
    GroupStatus {
        /// Position that the log must reach before the answer.
        min_position: log::Position,
        /// Longest wait for the position.
        wait: Duration,
    },
    /// Fences the member at a term.
    GroupFence {
        /// The term.
        term: log::Term,
        /// Claimant that requests the term.
        claimant: Box<str>,
    },
    /// Promotes the member to primary of a term.
    GroupPromote {
        /// The term.
        term: log::Term,
        /// Claimant to which the member granted the term.
        claimant: Box<str>,
    },
    /// Sets a switch of the stand-in.
    Switch {
        /// Name of the switch.
        name: Box<str>,
        /// New value of the switch.
        value: Box<str>,
    },
    /// Sleeps for the duration.
    Sleep(Duration),
    /// Inserts rows that the caller sends (COPY FROM STDIN).
    CopyIn {
        /// Table that receives the rows.
        table: Box<str>,
        /// Columns of the rows; empty for all columns of the table.
        columns: Vec<Box<str>>,
    },
    /// Sends the rows of a query to the caller (COPY TO STDOUT).
    CopyOut(Sql),
    /// Any other statement, which SQLite runs.
    Sql(Sql),
}

/// Statement that SQLite runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Sql {
    /// SQL text in SQLite's dialect.
    pub text: Box<str>,
    /// Command tag without the row count.
    pub tag: Box<str>,
    /// Whether the statement locks the rows that it reads.
    pub locks_rows: bool,
    /// Names of the tables in the statement.
    pub tables: Vec<Box<str>>,
    /// Types of the result columns, as far as the statement's text determines them.
    pub item_types: Vec<Option<types::PgType>>,
    /// Columns with which parameters are compared or into which they are stored.
    pub param_hints: Vec<infer::ParamHint>,
    /// Types of the parameters, as far as the statement's text determines them without [`Self::param_hints`].
    pub param_types: Vec<Option<types::PgType>>,
}

/// Parses a query string into its commands.
pub fn parse(query: &str) -> Result<Vec<Command>, error::SqlError> {
    let tokens = tokenize(query)?;
    tokens
        .split(|token| matches!(token, Token::SemiColon))
        .filter(|tokens| !is_whitespace(tokens))
        .map(parse_command)
        .collect()
}

fn tokenize(query: &str) -> Result<Vec<Token>, error::SqlError> {
    let dialect = dialect::PostgreSqlDialect {};
    tokenizer::Tokenizer::new(&dialect, query)
        .with_unescape(false)
        .tokenize()
        .map_err(|cause| error::SqlError::new(error::SYNTAX_ERROR, cause.to_string()))
}

fn is_whitespace(tokens: &[Token]) -> bool {
    tokens
        .iter()
        .all(|token| matches!(token, Token::Whitespace(_)))
}

fn parse_command(tokens: &[Token]) -> Result<Command, error::SqlError> {
    let significant: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let words = Words {
        tokens: &significant,
    };
    let command = match words.lowercase_word(0).as_str() {
        "begin" | "start" => Command::Begin {
            read_only: words.has_word_pair("read", "only"),
        },
        "commit" | "end" => Command::Commit,
        "rollback" | "abort" if !words.has_word("to") => Command::Rollback,
        "set" => words.parse_set()?,
        "show" => Command::Show(words.text_from(1)),
        "reset" if words.is_word(1, "all") => Command::Reset(None),
        "reset" => Command::Reset(Some(words.text_from(1))),
        "discard" => Command::Discard,
        "deallocate" => words.parse_deallocate(),
        "listen" => Command::Ignored("LISTEN"),
        "unlisten" => Command::Ignored("UNLISTEN"),
        "notify" => Command::Ignored("NOTIFY"),
        "copy" => parse_copy(tokens, &significant)?,
        "select" => match words.parse_function_call()? {
            Some(command) => command,
            None => Command::Sql(parse_sql(tokens, &significant)),
        },
        _ => Command::Sql(parse_sql(tokens, &significant)),
    };
    Ok(command)
}

fn parse_sql(tokens: &[Token], significant: &[&Token]) -> Sql {
    let rewritten = rewrite::rewrite(tokens);
    let mut param_types = vec![None; rewritten.param_count];
    let counts = infer::count_params(significant).into_iter();
    let counts = counts.map(|index| (index, types::PgType::Int8));
    for (index, kind) in rewritten.param_types.into_iter().chain(counts) {
        if let Some(slot) = param_types.get_mut(index) {
            *slot = Some(kind);
        }
    }
    Sql {
        text: rewritten.text.into(),
        tag: command_tag(significant),
        locks_rows: rewritten.locks_rows,
        tables: infer::tables(significant),
        item_types: infer::item_types(significant),
        param_hints: infer::param_hints(significant),
        param_types,
    }
}

fn command_tag(significant: &[&Token]) -> Box<str> {
    let words = Words {
        tokens: significant,
    };
    let first = words.lowercase_word(0).to_ascii_uppercase();
    match first.as_str() {
        "CREATE" | "DROP" | "ALTER" => {
            let second = words.lowercase_word(1).to_ascii_uppercase();
            format!("{first} {second}").into()
        }
        "WITH" | "VALUES" => "SELECT".into(),
        _ => first.into(),
    }
}

fn parse_copy(tokens: &[Token], significant: &[&Token]) -> Result<Command, error::SqlError> {
    let words = Words {
        tokens: significant,
    };
    if words.has_word("binary") {
        let message = "COPY in binary format is not supported";
        return Err(error::SqlError::new(error::FEATURE_NOT_SUPPORTED, message));
    }
    if words.has_word_pair("to", "stdout") {
        return parse_copy_out(tokens);
    }
    if !words.has_word_pair("from", "stdin") {
        let message = "COPY takes FROM STDIN or TO STDOUT only";
        return Err(error::SqlError::new(error::FEATURE_NOT_SUPPORTED, message));
    }
    let columns = significant[2..]
        .iter()
        .take_while(|token| !rewrite::is_word(Some(token), "from"))
        .filter_map(|token| match token {
            Token::Word(word) => Some(word.value.as_str().into()),
            _ => None,
        });
    Ok(Command::CopyIn {
        table: words.text_at(1),
        columns: columns.collect(),
    })
}

fn parse_copy_out(tokens: &[Token]) -> Result<Command, error::SqlError> {
    let start = tokens
        .iter()
        .position(|token| rewrite::is_word(Some(token), "copy"));
    let end = tokens
        .iter()
        .rposition(|token| rewrite::is_word(Some(token), "to"));
    let source = &tokens[start.map_or(0, |index| index + 1)..end.unwrap_or(tokens.len())];
    let text: String = source.iter().map(Token::to_string).collect();
    let text = text.trim();
    let query = match text
        .strip_prefix('(')
        .and_then(|text| text.strip_suffix(')'))
    {
        Some(query) => query.to_string(),
        None => match text.split_once('(') {
            Some((table, columns)) => {
                format!("SELECT {} FROM {table}", columns.trim_end_matches(')'))
            }
            None => format!("SELECT * FROM {text}"),
        },
    };
    match parse(&query)?.pop() {
        Some(Command::Sql(sql)) => Ok(Command::CopyOut(sql)),
        _ => Err(error::SqlError::new(
            error::SYNTAX_ERROR,
            "COPY takes a table or a query",
        )),
    }
}

struct Words<'a> {
    tokens: &'a [&'a Token],
}

impl Words<'_> {
    fn lowercase_word(&self, index: usize) -> String {
        match self.tokens.get(index) {
            Some(Token::Word(word)) => word.value.to_ascii_lowercase(),
            _ => String::new(),
        }
    }

    fn is_word(&self, index: usize, word: &str) -> bool {
        rewrite::is_word(self.tokens.get(index).copied(), word)
    }

    fn has_word(&self, word: &str) -> bool {
        (0..self.tokens.len()).any(|index| self.is_word(index, word))
    }

    fn has_word_pair(&self, first: &str, second: &str) -> bool {
        (1..self.tokens.len())
            .any(|index| self.is_word(index - 1, first) && self.is_word(index, second))
    }

    /// Returns the text of the token at the index.
    fn text_at(&self, index: usize) -> Box<str> {
        self.tokens
            .get(index)
            .map_or_else(Box::default, |token| token_text(token))
    }

    /// Returns the texts of the tokens from the index on, concatenated.
    fn text_from(&self, index: usize) -> Box<str> {
        let rest = self.tokens.get(index..).unwrap_or_default();
        let texts: Vec<Box<str>> = rest.iter().map(|token| token_text(token)).collect();
        texts.concat().into()
    }

    /// Returns the value of a setting from the index on. In a list, quoted names keep their quotes.
    fn setting_value_from(&self, index: usize) -> Box<str> {
        let rest = self.tokens.get(index..).unwrap_or_default();
        if !rest.iter().any(|token| matches!(token, Token::Comma)) {
            return self.text_from(index);
        }
        let texts = rest.iter().map(|token| match token {
            Token::Comma => ", ".to_owned(),
            token => token.to_string(),
        });
        texts.collect::<String>().into()
    }

    fn parse_set(&self) -> Result<Command, error::SqlError> {
        let local = self.is_word(1, "local");
        let start = if local || self.is_word(1, "session") {
            2
        } else {
            1
        };
        if ["transaction", "characteristics"]
            .iter()
            .any(|word| self.is_word(start, word))
        {
            return Ok(Command::Ignored("SET"));
        }
        let separator = (start..self.tokens.len())
            .find(|index| matches!(self.tokens[*index], Token::Eq) || self.is_word(*index, "to"));
        let Some(separator) = separator else {
            let message = "SET takes a name and a value";
            return Err(error::SqlError::new(error::SYNTAX_ERROR, message));
        };
        let name = Words {
            tokens: &self.tokens[..separator],
        };
        Ok(Command::Set {
            name: name.text_from(start),
            value: self.setting_value_from(separator + 1),
            local,
        })
    }

    fn parse_deallocate(&self) -> Command {
        let index = if self.is_word(1, "prepare") { 2 } else { 1 };
        if self.is_word(index, "all") {
            return Command::Deallocate(None);
        }
        Command::Deallocate(Some(self.text_at(index)))
    }

    /// Returns the command of the first call to a function that the member implements itself, if the statement has one.
    /// The rest of the statement is ignored.
    fn parse_function_call(&self) -> Result<Option<Command>, error::SqlError> {
        let open = (1..self.tokens.len()).find(|index| {
            matches!(self.tokens[*index], Token::LParen)
                && functions::NAMES.contains(&self.lowercase_word(index - 1).as_str())
        });
        let Some(open) = open else {
            return Ok(None);
        };
        let arguments: Vec<Box<str>> = self.tokens[open + 1..]
            .iter()
            .take_while(|token| !matches!(token, Token::RParen))
            .filter(|token| !matches!(token, Token::Comma))
            .map(|token| token_text(token))
            .collect();
        let name = self.lowercase_word(open - 1);
        let command = functions::parse_call(&name, &arguments);
        command.map(Some).ok_or_else(|| {
            let message = format!("{name} does not take these arguments");
            error::SqlError::new(error::INVALID_PARAMETER_VALUE, message)
        })
    }
}

fn token_text(token: &Token) -> Box<str> {
    match token {
        Token::Word(word) => word.value.as_str().into(),
        Token::SingleQuotedString(text) => text.replace("''", "'").into(),
        token => token.to_string().into(),
    }
}
