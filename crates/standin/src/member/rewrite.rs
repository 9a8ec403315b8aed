//! Rewrites a PostgreSQL statement into SQLite's dialect, token by token.

use sqlparser::tokenizer::Token;

use crate::member::types;

/// Statement in SQLite's dialect.
#[derive(Debug, Default)]
pub struct Rewritten {
    /// SQL text of the statement.
    pub text: String,
    /// Parameters, by index from 0, whose types follow from the statement's text: those that it casts, and the
    /// arguments of `generate_series`.
    pub param_types: Vec<(usize, types::PgType)>,
    /// Number of parameters.
    pub param_count: usize,
    /// Whether the statement locks the rows that it reads (`SELECT … FOR UPDATE` and the like).
    pub locks_rows: bool,
}

/// Rewrites the tokens of one statement.
pub fn rewrite(tokens: &[Token]) -> Rewritten {
    let mut rewriter = Rewriter {
        tokens,
        next: 0,
        pieces: Vec::new(),
        out: Rewritten::default(),
    };
    while rewriter.next < tokens.len() {
        rewriter.rewrite_token();
    }
    let mut out = rewriter.out;
    out.text = rewriter.pieces.concat().trim().to_string();
    out
}

/// Returns whether the token is the word, ignoring case.
pub fn is_word(token: Option<&Token>, word: &str) -> bool {
    matches!(token, Some(Token::Word(found)) if found.value.eq_ignore_ascii_case(word))
}

struct Rewriter<'a> {
    tokens: &'a [Token],
    next: usize,
    pieces: Vec<String>,
    out: Rewritten,
}

impl Rewriter<'_> {
    fn rewrite_token(&mut self) {
        let index = self.next;
        self.next += 1;
        match &self.tokens[index] {
            Token::Whitespace(_) => self.push(" "),
            Token::Placeholder(name) => self.rewrite_placeholder(name),
            Token::DoubleColon => self.rewrite_cast(),
            Token::EscapedStringLiteral(text) => self.push(format!("'{text}'")),
            Token::Word(word) if word.quote_style.is_none() => self.rewrite_word(&word.value),
            token => self.push(token.to_string()),
        }
    }

    fn push(&mut self, piece: impl Into<String>) {
        self.pieces.push(piece.into());
    }

    fn rewrite_placeholder(&mut self, name: &str) {
        let number: usize = name.trim_start_matches('$').parse().unwrap_or(0);
        self.out.param_count = self.out.param_count.max(number);
        self.push(format!("?{number}"));
    }

    fn rewrite_word(&mut self, word: &str) {
        match word.to_ascii_lowercase().as_str() {
            "serial" | "bigserial" => self.push("INTEGER"),
            "ilike" => self.push("LIKE"),
            "generate_series" if self.is_followed_by_paren() => self.rewrite_generate_series(),
            "truncate" if self.is_first() => {
                self.push("DELETE FROM");
                if is_word(self.peek(), "table") {
                    self.skip_token();
                }
            }
            "for" if self.is_select() && self.is_row_lock() => {
                self.out.locks_rows = true;
                self.next = self.tokens.len();
            }
            _ => self.push(word),
        }
    }

    /// Rewrites a cast: that of a parameter is recorded as the parameter's type, that of a literal becomes `CAST`, and
    /// any other is left out.
    fn rewrite_cast(&mut self) {
        let kind = self.read_type_name();
        let Some(piece) = self.pieces.iter_mut().rev().find(|piece| *piece != " ") else {
            return;
        };
        if let Some(number) = piece.strip_prefix('?').and_then(|text| text.parse().ok()) {
            let _: usize = number;
            self.out.param_types.push((number.saturating_sub(1), kind));
            return;
        }
        let literal =
            piece.starts_with('\'') || piece.starts_with(|first: char| first.is_numeric());
        if literal {
            *piece = format!("CAST({piece} AS {})", kind.sqlite_name());
        }
    }

    /// Reads a type name and, if there is one, its length in parentheses, and returns the type.
    fn read_type_name(&mut self) -> types::PgType {
        self.skip_whitespace();
        let mut name = String::new();
        if let Some(Token::Word(word)) = self.tokens.get(self.next) {
            name = word.value.clone();
            self.next += 1;
        }
        for second in ["precision", "varying"] {
            if is_word(self.peek(), second) {
                self.skip_token();
            }
        }
        if matches!(self.tokens.get(self.next), Some(Token::LParen)) {
            self.read_arguments();
        }
        types::PgType::from_cast(&name)
    }

    /// Rewrites `generate_series(FIRST, LAST)` into a recursive query, which SQLite evaluates row by row.
    fn rewrite_generate_series(&mut self) {
        let arguments = self.read_arguments();
        let [first, last] = arguments.as_slice() else {
            self.push("generate_series");
            return;
        };
        let column = self.read_series_alias();
        self.push(format!(
            "(WITH RECURSIVE series_(n_) AS (SELECT {first} WHERE {first} <= {last} \
             UNION ALL SELECT n_ + 1 FROM series_ WHERE n_ < {last}) \
             SELECT n_ AS {column} FROM series_) AS {column}"
        ));
    }

    fn read_series_alias(&mut self) -> String {
        let has_as = is_word(self.peek(), "as");
        if has_as {
            self.skip_token();
        }
        let Some(Token::Word(word)) = self.peek() else {
            return SERIES_COLUMN.to_string();
        };
        if !has_as && word.keyword != sqlparser::keywords::Keyword::NoKeyword {
            return SERIES_COLUMN.to_string();
        }
        let mut alias = word.value.clone();
        self.skip_token();
        if matches!(self.tokens.get(self.next), Some(Token::LParen)) {
            alias = self.read_arguments().pop().unwrap_or(alias);
        }
        alias
    }

    /// Reads a list of arguments in parentheses.
    fn read_arguments(&mut self) -> Vec<String> {
        self.skip_whitespace();
        self.next += 1;
        let mut arguments = vec![String::new()];
        let mut depth = 0;
        while let Some(token) = self.tokens.get(self.next) {
            self.next += 1;
            match token {
                Token::RParen if depth == 0 => break,
                Token::Comma if depth == 0 => {
                    arguments.push(String::new());
                    continue;
                }
                Token::LParen => depth += 1,
                Token::RParen => depth -= 1,
                _ => {}
            }
            let argument = arguments.last_mut().expect("the list starts with an item");
            argument.push_str(&self.argument_text(token));
        }
        arguments
            .into_iter()
            .map(|argument| argument.trim().to_string())
            .collect()
    }

    fn argument_text(&mut self, token: &Token) -> String {
        let Token::Placeholder(name) = token else {
            return token.to_string();
        };
        let number: usize = name.trim_start_matches('$').parse().unwrap_or(0);
        self.out.param_count = self.out.param_count.max(number);
        self.out
            .param_types
            .push((number.saturating_sub(1), types::PgType::Int8));
        format!("?{number}")
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.tokens.get(self.next), Some(Token::Whitespace(_))) {
            self.next += 1;
        }
    }

    fn skip_token(&mut self) {
        self.skip_whitespace();
        self.next += 1;
    }

    fn peek(&self) -> Option<&Token> {
        let mut rest = self.tokens[self.next..].iter();
        rest.find(|token| !matches!(token, Token::Whitespace(_)))
    }

    fn is_followed_by_paren(&self) -> bool {
        matches!(self.peek(), Some(Token::LParen))
    }

    fn is_first(&self) -> bool {
        self.pieces.iter().all(|piece| piece == " ")
    }

    fn is_select(&self) -> bool {
        let first = self
            .tokens
            .iter()
            .find(|token| !matches!(token, Token::Whitespace(_)));
        is_word(first, "select") || is_word(first, "with")
    }

    fn is_row_lock(&self) -> bool {
        ["update", "share", "no", "key"]
            .iter()
            .any(|word| is_word(self.peek(), word))
    }
}

const SERIES_COLUMN: &str = "generate_series";
