//! Statements of callers, told apart by their first words.

use std::time::Duration;

use sqlparser::{dialect, tokenizer, tokenizer::Token};

use crate::member::{error, functions, infer, log, rewrite, types};

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Nothing.
    Empty,
    /// Starts a transaction block.
    Begin {
        /// Whether the block refuses writes.
        read_only: bool,
    },
    /// Commits the transaction block.
    Commit,
    /// Rolls the transaction block back.
    Rollback,
    /// Sets a setting.
    Set {
        /// The setting.
        name: Box<str>,
        /// Its new value.
        value: Box<str>,
        /// Whether the value holds to the end of the transaction only.
        local: bool,
    },
    /// Shows a setting.
    Show(Box<str>),
    /// Resets a setting, or all.
    Reset(Option<Box<str>>),
    /// Resets the session.
    Discard,
    /// Drops a prepared statement, or all.
    Deallocate(Option<Box<str>>),
    /// A statement that is accepted and does nothing, by its tag.
    Ignored(&'static str),
    /// Reports the member's status.
    GroupStatus {
        /// The position to wait for.
        min_position: log::Position,
        /// The longest wait.
        wait: Duration,
    },
    /// Fences the member.
    GroupFence {
        /// The term.
        term: log::Term,
        /// The claimant.
        claimant: Box<str>,
    },
    /// Promotes the member.
    GroupPromote {
        /// The term.
        term: log::Term,
        /// The claimant.
        claimant: Box<str>,
    },
    /// Turns a switch of the stand-in.
    Switch {
        /// The switch.
        name: Box<str>,
        /// Its new value.
        value: Box<str>,
    },
    /// Sleeps.
    Sleep(Duration),
    /// Reads rows from the caller.
    CopyIn {
        /// The table.
        table: Box<str>,
        /// Its columns; empty for all.
        columns: Vec<Box<str>>,
    },
    /// Sends rows to the caller.
    CopyOut(Sql),
    /// Anything else, for SQLite.
    Sql(Sql),
}

/// A statement in SQLite's dialect.
#[derive(Debug, Clone, PartialEq)]
pub struct Sql {
    /// The statement.
    pub text: Box<str>,
    /// The first word of its command tag.
    pub tag: Box<str>,
    /// Whether it locks the rows that it reads.
    pub locks: bool,
    /// The tables that it names.
    pub tables: Vec<Box<str>>,
    /// The types of its columns that show in its text.
    pub item_types: Vec<Option<types::PgType>>,
    /// The columns that its parameters stand beside.
    pub param_hints: Vec<infer::ParamHint>,
    /// The types of parameters that show in its text.
    pub param_types: Vec<Option<types::PgType>>,
}

/// The commands of a query string.
pub fn parse(query: &str) -> Result<Vec<Command>, error::SqlError> {
    let tokens = tokenize(query)?;
    tokens
        .split(|token| matches!(token, Token::SemiColon))
        .filter(|tokens| !is_blank(tokens))
        .map(parse_one)
        .collect()
}

fn tokenize(query: &str) -> Result<Vec<Token>, error::SqlError> {
    let dialect = dialect::PostgreSqlDialect {};
    tokenizer::Tokenizer::new(&dialect, query)
        .with_unescape(false)
        .tokenize()
        .map_err(|cause| error::SqlError::new(error::SYNTAX_ERROR, cause.to_string()))
}

fn is_blank(tokens: &[Token]) -> bool {
    tokens
        .iter()
        .all(|token| matches!(token, Token::Whitespace(_)))
}

fn parse_one(tokens: &[Token]) -> Result<Command, error::SqlError> {
    let significant: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let words = Words {
        tokens: &significant,
    };
    let command = match words.lower(0).as_str() {
        "begin" | "start" => Command::Begin {
            read_only: words.has_pair("read", "only"),
        },
        "commit" | "end" => Command::Commit,
        "rollback" | "abort" if !words.has("to") => Command::Rollback,
        "set" => words.set()?,
        "show" => Command::Show(words.name_from(1)),
        "reset" if words.is(1, "all") => Command::Reset(None),
        "reset" => Command::Reset(Some(words.name_from(1))),
        "discard" => Command::Discard,
        "deallocate" => words.deallocate(),
        "listen" => Command::Ignored("LISTEN"),
        "unlisten" => Command::Ignored("UNLISTEN"),
        "notify" => Command::Ignored("NOTIFY"),
        "copy" => copy(tokens, &significant)?,
        "select" => match words.function()? {
            Some(command) => command,
            None => Command::Sql(sql(tokens, &significant)),
        },
        _ => Command::Sql(sql(tokens, &significant)),
    };
    Ok(command)
}

fn sql(tokens: &[Token], significant: &[&Token]) -> Sql {
    let rewritten = rewrite::rewrite(tokens);
    let mut param_types = vec![None; rewritten.param_count];
    let counts = infer::count_params(significant).into_iter();
    let counts = counts.map(|index| (index, types::PgType::Int8));
    for (index, kind) in rewritten.casts.into_iter().chain(counts) {
        if let Some(slot) = param_types.get_mut(index) {
            *slot = Some(kind);
        }
    }
    Sql {
        text: rewritten.text.into(),
        tag: tag(significant),
        locks: rewritten.locks,
        tables: infer::tables(significant),
        item_types: infer::item_types(significant),
        param_hints: infer::param_hints(significant),
        param_types,
    }
}

fn tag(significant: &[&Token]) -> Box<str> {
    let words = Words {
        tokens: significant,
    };
    let first = words.lower(0).to_ascii_uppercase();
    match first.as_str() {
        "CREATE" | "DROP" | "ALTER" => {
            let second = words.lower(1).to_ascii_uppercase();
            format!("{first} {second}").into()
        }
        "WITH" | "VALUES" => "SELECT".into(),
        _ => first.into(),
    }
}

fn copy(tokens: &[Token], significant: &[&Token]) -> Result<Command, error::SqlError> {
    let words = Words {
        tokens: significant,
    };
    if words.has("binary") {
        let message = "COPY in binary format is not supported";
        return Err(error::SqlError::new(error::FEATURE_NOT_SUPPORTED, message));
    }
    if words.has_pair("to", "stdout") {
        return copy_out(tokens);
    }
    if !words.has_pair("from", "stdin") {
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
        table: words.name_at(1),
        columns: columns.collect(),
    })
}

fn copy_out(tokens: &[Token]) -> Result<Command, error::SqlError> {
    let start = tokens
        .iter()
        .position(|token| rewrite::is_word(Some(token), "copy"));
    let end = tokens
        .iter()
        .rposition(|token| rewrite::is_word(Some(token), "to"));
    let source = &tokens[start.map_or(0, |place| place + 1)..end.unwrap_or(tokens.len())];
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
    fn lower(&self, place: usize) -> String {
        match self.tokens.get(place) {
            Some(Token::Word(word)) => word.value.to_ascii_lowercase(),
            _ => String::new(),
        }
    }

    fn is(&self, place: usize, word: &str) -> bool {
        rewrite::is_word(self.tokens.get(place).copied(), word)
    }

    fn has(&self, word: &str) -> bool {
        (0..self.tokens.len()).any(|place| self.is(place, word))
    }

    fn has_pair(&self, first: &str, second: &str) -> bool {
        (1..self.tokens.len()).any(|place| self.is(place - 1, first) && self.is(place, second))
    }

    /// The text of one token.
    fn name_at(&self, place: usize) -> Box<str> {
        self.tokens
            .get(place)
            .map_or_else(Box::default, |token| literal(token))
    }

    /// The text of all tokens from one on.
    fn name_from(&self, place: usize) -> Box<str> {
        let rest = self.tokens.get(place..).unwrap_or_default();
        let texts: Vec<Box<str>> = rest.iter().map(|token| literal(token)).collect();
        texts.concat().into()
    }

    /// The value of a setting; in a list names keep their quotes.
    fn setting_from(&self, place: usize) -> Box<str> {
        let rest = self.tokens.get(place..).unwrap_or_default();
        if !rest.iter().any(|token| matches!(token, Token::Comma)) {
            return self.name_from(place);
        }
        let texts = rest.iter().map(|token| match token {
            Token::Comma => ", ".to_owned(),
            token => token.to_string(),
        });
        texts.collect::<String>().into()
    }

    fn set(&self) -> Result<Command, error::SqlError> {
        let local = self.is(1, "local");
        let start = if local || self.is(1, "session") { 2 } else { 1 };
        if ["transaction", "characteristics"]
            .iter()
            .any(|word| self.is(start, word))
        {
            return Ok(Command::Ignored("SET"));
        }
        let between = (start..self.tokens.len())
            .find(|place| matches!(self.tokens[*place], Token::Eq) || self.is(*place, "to"));
        let Some(between) = between else {
            let message = "SET takes a name and a value";
            return Err(error::SqlError::new(error::SYNTAX_ERROR, message));
        };
        let name = Words {
            tokens: &self.tokens[..between],
        };
        Ok(Command::Set {
            name: name.name_from(start),
            value: self.setting_from(between + 1),
            local,
        })
    }

    fn deallocate(&self) -> Command {
        let place = if self.is(1, "prepare") { 2 } else { 1 };
        if self.is(place, "all") {
            return Command::Deallocate(None);
        }
        Command::Deallocate(Some(self.name_at(place)))
    }

    /// The member's own functions.
    fn function(&self) -> Result<Option<Command>, error::SqlError> {
        let call = (1..self.tokens.len()).find(|place| {
            matches!(self.tokens[*place], Token::LParen)
                && functions::NAMES.contains(&self.lower(place - 1).as_str())
        });
        let Some(open) = call else {
            return Ok(None);
        };
        let arguments: Vec<Box<str>> = self.tokens[open + 1..]
            .iter()
            .take_while(|token| !matches!(token, Token::RParen))
            .filter(|token| !matches!(token, Token::Comma))
            .map(|token| literal(token))
            .collect();
        let name = self.lower(open - 1);
        let command = functions::call(&name, &arguments);
        command.map(Some).ok_or_else(|| {
            let message = format!("{name} does not take these arguments");
            error::SqlError::new(error::INVALID_PARAMETER_VALUE, message)
        })
    }
}

fn literal(token: &Token) -> Box<str> {
    match token {
        Token::Word(word) => word.value.as_str().into(),
        Token::SingleQuotedString(text) => text.replace("''", "'").into(),
        token => token.to_string().into(),
    }
}
