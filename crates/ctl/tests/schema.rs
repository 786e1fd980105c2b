//! The committed JSON Schema of service documents agrees with the parser.

use hyssop_core::ServiceDoc;
use serde_json::Value as Json;
use toml::Value as Toml;

/// Sets every field. `slots` is 1 so that `connections` can be set to its minimum.
const FULL_DOCUMENT: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a"]
idempotent = ["/free-dates"]
needs = { instances = 3, resources = { cpu = 4000, mem = 8192, accel = 1 } }
moves = { movable = false, away = 2, pause = 61, drain = 31 }
limits = { slots = 1, connections = 65, inflight = 257, deadline = 2001 }
"#;

fn schema() -> Json {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../schema/service-document.json"
    );
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// An object of the schema, with its path in a document.
struct Object {
    path: Vec<String>,
    schema: Json,
}

fn collect_objects(path: Vec<String>, schema: &Json, found: &mut Vec<Object>) {
    if schema["type"] != "object" {
        return;
    }
    for (name, property) in schema["properties"].as_object().unwrap() {
        let mut path = path.clone();
        path.push(name.clone());
        collect_objects(path, property, found);
    }
    found.push(Object {
        path,
        schema: schema.clone(),
    });
}

fn all_objects() -> Vec<Object> {
    let mut found = Vec::new();
    collect_objects(Vec::new(), &schema(), &mut found);
    assert_eq!(
        found.len(),
        5,
        "document, needs, resources, moves and limits"
    );
    found
}

/// Parses the full document after a change to the table at a path.
fn parse_with_change(
    path: &[String],
    change: impl FnOnce(&mut toml::Table),
) -> Result<ServiceDoc, String> {
    let mut doc: Toml = toml::from_str(FULL_DOCUMENT).unwrap();
    let mut table = doc.as_table_mut().unwrap();
    for name in path {
        table = table.get_mut(name).unwrap().as_table_mut().unwrap();
    }
    change(table);
    let text = toml::to_string(&doc).unwrap();
    ServiceDoc::parse(&text).map_err(|e| e.to_string())
}

fn value_at(doc: &ServiceDoc, path: &[String]) -> Json {
    let mut value = serde_json::to_value(doc).unwrap();
    for name in path {
        value = value[name].take();
    }
    value
}

/// Guards against a field that exists only in the parser or only in the schema.
#[test]
fn properties_are_the_fields_of_the_parser() {
    let doc = ServiceDoc::parse(FULL_DOCUMENT).unwrap();
    for object in all_objects() {
        let value = value_at(&doc, &object.path);
        let fields: Vec<&String> = value.as_object().unwrap().keys().collect();
        let properties: Vec<&String> = object.schema["properties"]
            .as_object()
            .unwrap()
            .keys()
            .collect();
        assert_eq!(fields, properties, "at {:?}", object.path);
    }
}

/// Guards against a misspelled field that is silently ignored.
#[test]
fn unknown_fields_are_rejected() {
    for object in all_objects() {
        assert_eq!(
            object.schema["additionalProperties"], false,
            "at {:?}",
            object.path
        );
        let result = parse_with_change(&object.path, |table| {
            table.insert("nonsense".to_owned(), Toml::Integer(1));
        });
        let error = result.expect_err(&format!("unknown field at {:?}", object.path));
        assert!(error.contains("nonsense"), "{error}");
    }
}

/// Guards against required fields and defaults that differ between the schema and the parser.
#[test]
fn required_fields_and_defaults_agree() {
    for object in all_objects() {
        let required = object.schema["required"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        for (name, property) in object.schema["properties"].as_object().unwrap() {
            let result = parse_with_change(&object.path, |table| {
                table.remove(name);
            });
            if required.contains(&Json::from(name.as_str())) {
                let error = result.expect_err(&format!("{name} is required"));
                assert!(error.contains(name.as_str()), "{error}");
                continue;
            }
            let doc = result.unwrap_or_else(|e| panic!("{name} is optional: {e}"));
            if property["type"] != "object" {
                let value = value_at(&doc, &object.path)[name].take();
                assert_eq!(value, property["default"], "default of {name}");
            }
        }
    }
}

/// Guards against numeric bounds that differ between the schema and the parser.
#[test]
fn bounds_agree() {
    for object in all_objects() {
        for (name, property) in object.schema["properties"].as_object().unwrap() {
            if property["type"] != "integer" {
                continue;
            }
            let min = property["minimum"].as_i64().unwrap();
            let max = property["maximum"].as_i64().unwrap();
            let parse_with = |n: i64| {
                parse_with_change(&object.path, |table| {
                    table.insert(name.clone(), Toml::Integer(n));
                })
            };
            assert!(
                parse_with(min).is_ok(),
                "{name} = {min}: {:?}",
                parse_with(min)
            );
            assert!(parse_with(min - 1).is_err(), "{name} = {}", min - 1);
            assert!(parse_with(max + 1).is_err(), "{name} = {}", max + 1);
        }
    }
}

/// Guards against classes and name patterns that differ between the schema and the parser, and
/// against an empty list of domains.
#[test]
fn classes_and_domains_agree() {
    let schema = schema();
    let parse_with = |name: &str, value: Toml| {
        parse_with_change(&[], |table| {
            table.insert(name.to_owned(), value);
        })
    };
    let classes = schema["properties"]["class"]["enum"].as_array().unwrap();
    for class in classes {
        assert!(parse_with("class", Toml::from(class.as_str().unwrap())).is_ok());
    }
    let error = parse_with("class", Toml::from("other")).unwrap_err();
    assert_eq!(error.matches('`').count(), 2 + 2 * classes.len(), "{error}");
    assert_eq!(schema["properties"]["domains"]["minItems"], 1);
    assert!(parse_with("domains", Toml::Array(Vec::new())).is_err());
    assert!(
        parse_with("team", Toml::from("Haugland")).is_err(),
        "the pattern has no capital letters"
    );
}
