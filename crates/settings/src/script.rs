//! Runs a script and collects its sections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::path::{Path, PathBuf};

use starlark::codemap::FileSpan;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::{Evaluator, ReturnFileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::dict::DictRef;
use starlark::values::list::ListRef;
use starlark::values::none::NoneType;
use starlark::values::structs::{AllocStruct, StructRef};
use starlark::values::{FrozenHeapName, Value};

use crate::Fault;
use crate::raw::{Place, Raw, Section};

/// Longest script file, in bytes.
const MOST_BYTES: u64 = 1 << 20;
/// Most files that scripts load, and how deep.
const MOST_FILES: usize = 100;
/// Most steps and bytes that a script may take.
const MOST_TICKS: u64 = 50_000_000;
const MOST_HEAP: usize = 256 << 20;
/// How deep lists and dicts may be nested.
const MOST_DEPTH: usize = 8;
/// Marks a struct that a unit made.
const UNIT: &str = "_unit";

/// Sections as JSON: what a script can reach besides its own values must be of a type that Starlark knows, and
/// making ours one would take unsafe code.
type Found = RefCell<Vec<String>>;

/// Runs the script at `path` and gives the sections that it and what it loads put down, in order.
pub fn run(path: &Path) -> Result<Vec<Section>, Fault> {
    let found = Found::default();
    let mut loading = Loading { found: &found, globals: globals(), chain: Vec::new(), done: HashMap::new() };
    loading.file(path, None)?;
    let sections: Result<Vec<Section>, _> =
        found.into_inner().iter().map(|s| serde_json::from_str(s)).collect();
    sections.map_err(|error| Fault { place: top(path), what: error.to_string() })
}

struct Loading<'a> {
    found: &'a Found,
    globals: Globals,
    chain: Vec<PathBuf>,
    done: HashMap<PathBuf, FrozenModule>,
}

impl Loading<'_> {
    fn file(&mut self, path: &Path, from: Option<&FileSpan>) -> Result<FrozenModule, Fault> {
        let place = || from.map_or_else(|| top(path), place);
        let fault = |what: String| Fault { place: place(), what };
        let real = path.canonicalize().map_err(|error| fault(format!("{}: {error}", path.display())))?;
        if let Some(at) = self.chain.iter().position(|p| *p == real) {
            let name = |p: &PathBuf| p.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let chain: Vec<String> = self.chain[at..].iter().chain([&real]).map(name).collect();
            return Err(fault(format!("files load each other in a circle: {}", chain.join(" -> "))));
        }
        if let Some(module) = self.done.get(&real) {
            return Ok(module.clone());
        }
        if self.chain.len() + self.done.len() >= MOST_FILES {
            return Err(fault(format!("more than {MOST_FILES} files are loaded")));
        }
        let length = std::fs::metadata(&real).map_or(0, |facts| facts.len());
        if length > MOST_BYTES {
            return Err(fault(format!("{}: {length} bytes, {MOST_BYTES} at most", path.display())));
        }
        let text = std::fs::read_to_string(&real);
        let text = text.map_err(|error| fault(format!("{}: {error}", path.display())))?;
        let name = path.display().to_string();
        let ast = AstModule::parse(&name, text, &Dialect::Standard).map_err(|e| from_starlark(&e, path))?;
        self.chain.push(real.clone());
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let mut loaded = Vec::new();
        for load in ast.loads() {
            let module = self.file(&folder.join(load.module_id), Some(&load.span))?;
            loaded.push((load.module_id.to_owned(), module));
        }
        let modules = loaded.iter().map(|(name, module)| (name.as_str(), module)).collect();
        let loader = ReturnFileLoader { modules: &modules };
        let module = Module::with_temp_heap(|module| {
            {
                let mut eval = Evaluator::new(&module);
                eval.extra = Some(self.found);
                eval.set_loader(&loader);
                eval.set_max_tick_count(MOST_TICKS)?;
                eval.set_max_heap_size(MOST_HEAP)?;
                eval.eval_module(ast, &self.globals)?;
            }
            Ok(module.freeze_named(FrozenHeapName::User(Box::new(name.clone())))?)
        });
        let module = module.map_err(|error: starlark::Error| from_starlark(&error, path))?;
        self.chain.pop();
        self.done.insert(real, module.clone());
        Ok(module)
    }
}

fn top(path: &Path) -> Place {
    Place { file: path.display().to_string(), line: 1, column: 1 }
}

fn place(span: &FileSpan) -> Place {
    let at = span.resolve_span().begin;
    Place { file: span.filename().into(), line: at.line + 1, column: at.column + 1 }
}

fn from_starlark(error: &starlark::Error, path: &Path) -> Fault {
    let what = error.without_diagnostic().to_string();
    Fault { place: error.span().map_or_else(|| top(path), place), what: what.trim().replace('\n', " ") }
}

fn globals() -> Globals {
    GlobalsBuilder::extended_by(&[LibraryExtension::StructType]).with(vocabulary).build()
}

/// A unit takes a number above or at zero; its product must fit.
fn quantity<'v>(
    eval: &Evaluator<'v, '_, '_>,
    unit: &'static str,
    number: Value<'v>,
    times: f64,
) -> anyhow::Result<Value<'v>> {
    let number = match raw(number, 0) {
        Raw::Int(n) => n as f64,
        Raw::Float(x) => x,
        other => anyhow::bail!("a unit takes a number, not {other}"),
    };
    let value = number * times;
    if !(0.0..1e15).contains(&value) {
        anyhow::bail!("{number} is out of range");
    }
    let value = value.round() as i64;
    Ok(eval.heap().alloc(AllocStruct([(UNIT, eval.heap().alloc(unit)), ("value", eval.heap().alloc(value))])))
}

fn section<'v>(eval: &Evaluator<'v, '_, '_>, kind: &str, fields: &DictRef<'v>) -> anyhow::Result<NoneType> {
    let found = eval.extra.and_then(|extra| extra.downcast_ref::<Found>());
    let Some(found) = found else { anyhow::bail!("no place to put {kind} down") };
    let span = eval.call_stack_top_location();
    let own = span.as_ref().map(place).unwrap_or_default();
    let places = span.as_ref().map(argument_places).unwrap_or_default();
    let field = |(key, value): (Value<'v>, Value<'v>)| {
        let key = key.unpack_str().unwrap_or_default().to_owned();
        let at = places.get(&key).cloned().unwrap_or_else(|| own.clone());
        (key, raw(value, 0), at)
    };
    let fields = fields.iter().map(field).collect();
    found.borrow_mut().push(serde_json::to_string(&Section { kind: kind.into(), place: own, fields })?);
    Ok(NoneType)
}

/// Where the arguments `name = ...` of a call stand. Starlark tells only the place of the call.
fn argument_places(span: &FileSpan) -> HashMap<String, Place> {
    let start = place(span);
    let (mut line, mut column) = (start.line, start.column);
    let (mut depth, mut word, mut word_at) = (0, String::new(), start.clone());
    let mut places = HashMap::new();
    let text: Vec<char> = span.source_span().chars().collect();
    let mut at = 0;
    while at < text.len() {
        let here = text[at];
        let next = text.get(at + 1);
        let mut skip = 1;
        match here {
            '#' => skip = text[at..].iter().position(|c| *c == '\n').unwrap_or(text.len() - at),
            '"' | '\'' => {
                let mut end = at + 1;
                while end < text.len() && text[end] != here {
                    end += if text[end] == '\\' { 2 } else { 1 };
                }
                skip = (end + 1 - at).min(text.len() - at);
            }
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            '=' if depth == 1 && next != Some(&'=') && !word.is_empty() => {
                places.insert(word.clone(), word_at.clone());
            }
            _ => {}
        }
        if here.is_alphanumeric() || here == '_' {
            if word.is_empty() {
                word_at = Place { file: start.file.clone(), line, column };
            }
            word.push(here);
        } else if !here.is_whitespace() {
            word.clear();
        }
        for passed in &text[at..at + skip] {
            (line, column) = if *passed == '\n' { (line + 1, 1) } else { (line, column + 1) };
        }
        at += skip;
    }
    places
}

fn raw(value: Value, depth: usize) -> Raw {
    if depth > MOST_DEPTH {
        return Raw::Other("nested too deep".into());
    }
    if value.is_none() {
        return Raw::None;
    }
    if let Some(flag) = value.unpack_bool() {
        return Raw::Bool(flag);
    }
    if let Some(text) = value.unpack_str() {
        return Raw::Text(text.into());
    }
    if let Some(list) = ListRef::from_value(value) {
        return Raw::List(list.iter().map(|item| raw(item, depth + 1)).collect());
    }
    if let Some(dict) = DictRef::from_value(value) {
        let entry = |(key, value): (Value, Value)| {
            let key = key.unpack_str().map_or_else(|| key.to_str(), str::to_owned);
            (key, raw(value, depth + 1))
        };
        return Raw::Dict(dict.iter().map(entry).collect());
    }
    if let Some(made) = StructRef::from_value(value) {
        let fields: HashMap<&str, Value> = made.iter().map(|(k, v)| (k.as_str(), v)).collect();
        let number = |name| fields.get(name).and_then(|v| v.to_str().parse::<u64>().ok()).unwrap_or(0);
        let text = |name| fields.get(name).and_then(|v| v.unpack_str()).unwrap_or_default();
        return match text(UNIT) {
            "time" => Raw::Time(number("value")),
            "size" => Raw::Size(number("value")),
            "share" => Raw::Share(number("value")),
            "keyed" => Raw::Keyed(text("group").into(), number("value")),
            _ => Raw::Other(value.to_str()),
        };
    }
    match value.get_type() {
        "int" => value.to_str().parse().map_or_else(|_| Raw::Other(value.to_str()), Raw::Int),
        "float" => value.to_str().parse().map_or_else(
            |_| Raw::Other(value.to_str()),
            |x: f64| if x.is_finite() { Raw::Float(x) } else { Raw::Other(value.to_str()) },
        ),
        _ => Raw::Other(value.to_str()),
    }
}

#[starlark_module]
fn vocabulary(builder: &mut GlobalsBuilder) {
    /// Microseconds.
    fn us<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        quantity(eval, "time", n, 1.0)
    }
    /// Milliseconds.
    fn ms<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        quantity(eval, "time", n, 1e3)
    }
    /// Seconds.
    fn s<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        quantity(eval, "time", n, 1e6)
    }
    /// Minutes.
    fn minutes<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        quantity(eval, "time", n, 60e6)
    }
    /// KiB.
    fn kb<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        quantity(eval, "size", n, 1024.0)
    }
    /// MiB.
    fn mb<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        quantity(eval, "size", n, 1_048_576.0)
    }
    /// A share of the calls, in steps of a hundredth of a percent.
    fn percent<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        if let Raw::Float(x) = raw(n, 0)
            && ((x * 100.0).round() - x * 100.0).abs() > 1e-6
        {
            anyhow::bail!("percent({x}): shares go in steps of 0.01 percent");
        }
        quantity(eval, "share", n, 100.0)
    }
    /// An effect: repeats are dropped by the workers of a group for a time.
    fn keyed<'v>(
        #[starlark(require = named)] group: &str,
        #[starlark(require = named)] memory: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let Raw::Time(memory) = raw(memory, 0) else {
            anyhow::bail!("memory = {}: a time such as s(5) is wanted", raw(memory, 0))
        };
        let heap = eval.heap();
        let fields =
            [(UNIT, heap.alloc("keyed")), ("group", heap.alloc(group)), ("value", heap.alloc(memory))];
        Ok(heap.alloc(AllocStruct(fields)))
    }
    fn gateway<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "gateway", &f)
    }
    fn call_class<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "call_class", &f)
    }
    fn tenant<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "tenant", &f)
    }
    fn fleet<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "fleet", &f)
    }
    fn cold_start<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "cold_start", &f)
    }
    fn ration<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "ration", &f)
    }
    fn shift<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "shift", &f)
    }
    fn step<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "step", &f)
    }
    fn guard<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "guard", &f)
    }
    fn versions<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "versions", &f)
    }
    fn worker<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "worker", &f)
    }
    fn limits<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "limits", &f)
    }
    fn scale<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "scale", &f)
    }
    fn network<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "network", &f)
    }
    fn function<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        section(eval, "function", &f)
    }
}
