//! Authentication of operators.

use super::*;
use googletest::prelude::*;
use ledgelead_types::List;

fn with_operator(credential: &str) -> Configuration {
    Configuration {
        operators: List(vec![OperatorConfiguration {
            name: "ada".into(),
            credential_sha256: sha256_hex(credential.as_bytes()).into(),
            ..OperatorConfiguration::default()
        }]),
        ..Configuration::default()
    }
}

fn name(
    configuration: &Configuration,
    credential: Option<&str>,
    remote_address: &str,
) -> std::result::Result<String, Unauthorized> {
    let remote_address = remote_address.parse().ok();
    operator_of(configuration, credential, remote_address).map(|operator| operator.name.0)
}

#[gtest]
fn operators_are_authenticated_by_credential_only() {
    let configuration = with_operator("secret");
    let ada = Ok("ada".to_owned());
    let far = "10.1.2.3:999";
    expect_that!(name(&configuration, Some("secret"), far), eq(&ada));
    for local in ["127.0.0.1:999", "[::1]:999", far] {
        expect_that!(
            name(&configuration, None, local),
            eq(&Err(Unauthorized::NoCredential))
        );
        let unknown = Err(Unauthorized::UnknownCredential);
        expect_that!(name(&configuration, Some("Secret"), local), eq(&unknown));
        expect_that!(name(&configuration, Some(""), local), eq(&unknown));
    }
    // The stored digest is not a credential.
    let digest = sha256_hex(b"secret");
    let unknown = Err(Unauthorized::UnknownCredential);
    expect_that!(name(&configuration, Some(&digest), far), eq(&unknown));
}

#[gtest]
fn without_operators_only_local_requests_are_accepted() {
    let empty = Configuration::default();
    let bootstrap = Ok(BOOTSTRAP_OPERATOR.to_owned());
    for local in ["127.0.0.1:999", "[::1]:999", "[::ffff:127.0.0.1]:999"] {
        expect_that!(name(&empty, None, local), eq(&bootstrap));
    }
    for far in ["10.1.2.3:999", "[fe80::1]:999", "unknown"] {
        expect_that!(
            name(&empty, Some("secret"), far),
            eq(&Err(Unauthorized::NotLocal))
        );
    }
}
