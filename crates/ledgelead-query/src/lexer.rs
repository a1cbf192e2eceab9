//! Splits a text into tokens.

use crate::finding::{Finding, Findings};
use crate::located::TextRange;
use winnow::Parser;
use winnow::combinator::{alt, opt, preceded, repeat};
use winnow::stream::LocatingSlice;
use winnow::token::{any, none_of, take_till, take_while};

/// Type of a token.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TokenKind {
    /// An unquoted word: a keyword or a name.
    Word(String),
    /// A quoted text without its quotes.
    Text(String),
    /// A number.
    Number(f64),
    /// `=`, `!=`, `<`, `<=`, `>`, `>=`, `,` or `;`.
    Symbol(&'static str),
    /// Not a valid token; an error was reported.
    Invalid,
}

/// A token and its source range.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token {
    pub(crate) kind: TokenKind,
    pub(crate) range: TextRange,
}

impl Token {
    /// The word, if the token is an unquoted word.
    pub(crate) fn word(&self) -> Option<&str> {
        match &self.kind {
            TokenKind::Word(word) => Some(word),
            _ => None,
        }
    }
}

/// A token before errors are reported.
enum Lexeme {
    Token(TokenKind),
    UnterminatedText,
    InvalidNumber,
    Unexpected(char),
}

type Input<'a> = LocatingSlice<&'a str>;
type Lexed<T> = winnow::Result<T>;

/// Splits a text into tokens; reports invalid ones.
pub(crate) fn lex(text: &str, findings: &mut Findings) -> Vec<Token> {
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        // White space is optional, so this can't fail.
        let _ = skip_whitespace(&mut input);
        let Ok((lexeme, range)) = lexeme.with_span().parse_next(&mut input) else {
            return tokens;
        };
        let kind = kind_of(lexeme, &range, findings);
        tokens.push(Token { kind, range });
    }
}

fn kind_of(lexeme: Lexeme, range: &TextRange, findings: &mut Findings) -> TokenKind {
    let finding = |message: String| Finding::new(range.clone(), message);
    match lexeme {
        Lexeme::Token(kind) => return kind,
        Lexeme::UnterminatedText => {
            findings.add(finding("a text without its closing quote".to_owned()))
        }
        Lexeme::InvalidNumber => findings.add(
            finding("not a number".to_owned())
                .with_help("names that begin with a digit are written in quotes"),
        ),
        Lexeme::Unexpected(character) => {
            findings.add(finding(format!("unexpected character {character:?}")));
        }
    }
    TokenKind::Invalid
}

/// Skips white space and comments, which run from `#` to the end of the line.
fn skip_whitespace(input: &mut Input<'_>) -> Lexed<()> {
    let whitespace = take_while(1.., char::is_whitespace).void();
    let comment = ('#', take_till(0.., '\n')).void();
    repeat(0.., alt((whitespace, comment))).parse_next(input)
}

fn lexeme(input: &mut Input<'_>) -> Lexed<Lexeme> {
    alt((symbol, text, number, word, any.map(Lexeme::Unexpected))).parse_next(input)
}

fn symbol(input: &mut Input<'_>) -> Lexed<Lexeme> {
    alt(("!=", "<=", ">=", "=", "<", ">", ",", ";"))
        .map(|symbol: &str| Lexeme::Token(TokenKind::Symbol(static_symbol(symbol))))
        .parse_next(input)
}

fn static_symbol(symbol: &str) -> &'static str {
    match symbol {
        "!=" => "!=",
        "<=" => "<=",
        ">=" => ">=",
        "=" => "=",
        "<" => "<",
        ">" => ">",
        "," => ",",
        _ => ";",
    }
}

fn text(input: &mut Input<'_>) -> Lexed<Lexeme> {
    let content: String = preceded('"', repeat(0.., text_character)).parse_next(input)?;
    let closing = opt('"').parse_next(input)?;
    Ok(match closing {
        Some(_) => Lexeme::Token(TokenKind::Text(content)),
        None => Lexeme::UnterminatedText,
    })
}

fn text_character(input: &mut Input<'_>) -> Lexed<char> {
    let escaped = preceded('\\', any).map(|character| match character {
        'n' => '\n',
        'r' => '\r',
        't' => '\t',
        other => other,
    });
    alt((escaped, none_of(['"', '\\', '\n', '\r']))).parse_next(input)
}

fn number(input: &mut Input<'_>) -> Lexed<Lexeme> {
    let digits = (
        opt('-'),
        take_while(1, |character: char| character.is_ascii_digit()),
        take_while(0.., is_word_character),
    );
    let written = digits.take().parse_next(input)?;
    Ok(match written.parse::<f64>() {
        Ok(number) if number.is_finite() => Lexeme::Token(TokenKind::Number(number)),
        _ => Lexeme::InvalidNumber,
    })
}

fn word(input: &mut Input<'_>) -> Lexed<Lexeme> {
    (
        take_while(1, is_word_start),
        take_while(0.., is_word_character),
    )
        .take()
        .map(|word: &str| Lexeme::Token(TokenKind::Word(word.to_owned())))
        .parse_next(input)
}

/// Whether an unquoted word can start with this character.
pub(crate) fn is_word_start(character: char) -> bool {
    character.is_alphabetic() || character == '_'
}

/// Whether an unquoted word can contain this character after its first.
pub(crate) fn is_word_character(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '_' | '-' | '.')
}
