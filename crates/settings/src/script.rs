//! Runs a script and collects its sections. Scripts are limited in size, steps and memory.

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

use crate::SettingsError;
use crate::raw::{Location, RawValue, Section};

/// Maximum size of a script file.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum number of files that a script may load, itself and nested loads included.
const MAX_FILES: usize = 100;
/// Maximum number of interpreter steps of each file.
const MAX_TICKS: u64 = 50_000_000;
/// Maximum heap size of each file.
const MAX_HEAP_BYTES: usize = 256 << 20;
/// Maximum nesting of lists and dicts.
const MAX_NESTING: usize = 8;
/// Field that marks a struct made by a unit function such as `ms` or by `keyed`.
const UNIT_FIELD: &str = "_unit";

/// Recorded sections, as JSON: data that is attached to an evaluation must have a type known to Starlark, and
/// implementing its trait for our types would need unsafe code.
type RecordedSections = RefCell<Vec<String>>;

/// Runs the script at `path` and returns the sections that it and the files it loads recorded, in order.
pub fn run(path: &Path) -> Result<Vec<Section>, SettingsError> {
    let sections = RecordedSections::default();
    let mut loader =
        ScriptLoader { sections: &sections, globals: globals(), stack: Vec::new(), done: HashMap::new() };
    loader.load(path, None)?;
    let sections: Result<Vec<Section>, _> =
        sections.into_inner().iter().map(|s| serde_json::from_str(s)).collect();
    sections.map_err(|error| SettingsError { location: start_of_file(path), message: error.to_string() })
}

/// Evaluates a script and the files that it loads.
struct ScriptLoader<'a> {
    sections: &'a RecordedSections,
    globals: Globals,
    /// Files under evaluation, outermost first.
    stack: Vec<PathBuf>,
    /// Files that were evaluated.
    done: HashMap<PathBuf, FrozenModule>,
}

impl ScriptLoader<'_> {
    /// Evaluates a file once. `from` is the `load` statement that names it.
    fn load(&mut self, path: &Path, from: Option<&FileSpan>) -> Result<FrozenModule, SettingsError> {
        let location = || from.map_or_else(|| start_of_file(path), location);
        let error_at = |message: String| SettingsError { location: location(), message };
        let canonical =
            path.canonicalize().map_err(|error| error_at(format!("{}: {error}", path.display())))?;
        if let Some(at) = self.stack.iter().position(|p| *p == canonical) {
            let name = |p: &PathBuf| p.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let cycle: Vec<String> = self.stack[at..].iter().chain([&canonical]).map(name).collect();
            return Err(error_at(format!("files load each other in a cycle: {}", cycle.join(" -> "))));
        }
        if let Some(module) = self.done.get(&canonical) {
            return Ok(module.clone());
        }
        if self.stack.len() + self.done.len() >= MAX_FILES {
            return Err(error_at(format!("more than {MAX_FILES} files are loaded")));
        }
        let length = std::fs::metadata(&canonical).map_or(0, |metadata| metadata.len());
        if length > MAX_FILE_BYTES {
            return Err(error_at(format!("{}: {length} bytes, {MAX_FILE_BYTES} at most", path.display())));
        }
        let text = std::fs::read_to_string(&canonical);
        let text = text.map_err(|error| error_at(format!("{}: {error}", path.display())))?;
        let name = path.display().to_string();
        let ast = AstModule::parse(&name, text, &Dialect::Standard).map_err(|e| from_starlark(&e, path))?;
        self.stack.push(canonical.clone());
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let mut loaded = Vec::new();
        for load in ast.loads() {
            let module = self.load(&folder.join(load.module_id), Some(&load.span))?;
            loaded.push((load.module_id.to_owned(), module));
        }
        let modules = loaded.iter().map(|(name, module)| (name.as_str(), module)).collect();
        let loader = ReturnFileLoader { modules: &modules };
        let module = Module::with_temp_heap(|module| {
            {
                let mut eval = Evaluator::new(&module);
                eval.extra = Some(self.sections);
                eval.set_loader(&loader);
                eval.set_max_tick_count(MAX_TICKS)?;
                eval.set_max_heap_size(MAX_HEAP_BYTES)?;
                eval.eval_module(ast, &self.globals)?;
            }
            Ok(module.freeze_named(FrozenHeapName::User(Box::new(name.clone())))?)
        });
        let module = module.map_err(|error: starlark::Error| from_starlark(&error, path))?;
        self.stack.pop();
        self.done.insert(canonical, module.clone());
        Ok(module)
    }
}

fn start_of_file(path: &Path) -> Location {
    Location { file: path.display().to_string(), line: 1, column: 1 }
}

fn location(span: &FileSpan) -> Location {
    let at = span.resolve_span().begin;
    Location { file: span.filename().into(), line: at.line + 1, column: at.column + 1 }
}

fn from_starlark(error: &starlark::Error, path: &Path) -> SettingsError {
    let message = error.without_diagnostic().to_string();
    SettingsError {
        location: error.span().map_or_else(|| start_of_file(path), location),
        message: message.trim().replace('\n', " "),
    }
}

fn globals() -> Globals {
    GlobalsBuilder::extended_by(&[LibraryExtension::StructType]).with(script_functions).build()
}

/// Multiplies a number with its unit and marks the result with the kind of unit. Negative numbers are errors.
fn apply_unit<'v>(
    eval: &Evaluator<'v, '_, '_>,
    unit: &'static str,
    number: Value<'v>,
    factor: f64,
) -> anyhow::Result<Value<'v>> {
    let number = match to_raw_value(number, 0) {
        RawValue::Int(n) => n as f64,
        RawValue::Float(x) => x,
        other => anyhow::bail!("a unit takes a number, not {other}"),
    };
    let value = number * factor;
    if !(0.0..1e15).contains(&value) {
        anyhow::bail!("{number} is out of range");
    }
    let value = value.round() as i64;
    Ok(eval
        .heap()
        .alloc(AllocStruct([(UNIT_FIELD, eval.heap().alloc(unit)), ("value", eval.heap().alloc(value))])))
}

/// Records a section with the location of each argument.
fn record_section<'v>(
    eval: &Evaluator<'v, '_, '_>,
    kind: &str,
    fields: &DictRef<'v>,
) -> anyhow::Result<NoneType> {
    let sections = eval.extra.and_then(|extra| extra.downcast_ref::<RecordedSections>());
    let Some(sections) = sections else {
        anyhow::bail!("{kind}(...) was called outside of a settings script")
    };
    let span = eval.call_stack_top_location();
    let call = span.as_ref().map(location).unwrap_or_default();
    let locations = span.as_ref().map(argument_locations).unwrap_or_default();
    let field = |(key, value): (Value<'v>, Value<'v>)| {
        let key = key.unpack_str().unwrap_or_default().to_owned();
        let at = locations.get(&key).cloned().unwrap_or_else(|| call.clone());
        (key, to_raw_value(value, 0), at)
    };
    let fields = fields.iter().map(field).collect();
    sections.borrow_mut().push(serde_json::to_string(&Section { kind: kind.into(), place: call, fields })?);
    Ok(NoneType)
}

/// Locations of the arguments `name = ...` of a call. Starlark reports only the location of the call itself.
fn argument_locations(span: &FileSpan) -> HashMap<String, Location> {
    let start = location(span);
    let (mut line, mut column) = (start.line, start.column);
    let (mut depth, mut word, mut word_location) = (0, String::new(), start.clone());
    let mut locations = HashMap::new();
    let text: Vec<char> = span.source_span().chars().collect();
    let mut at = 0;
    while at < text.len() {
        let char = text[at];
        let next = text.get(at + 1);
        let mut skip = 1;
        match char {
            '#' => skip = text[at..].iter().position(|c| *c == '\n').unwrap_or(text.len() - at),
            '"' | '\'' => {
                let mut end = at + 1;
                while end < text.len() && text[end] != char {
                    end += if text[end] == '\\' { 2 } else { 1 };
                }
                skip = (end + 1 - at).min(text.len() - at);
            }
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            '=' if depth == 1 && next != Some(&'=') && !word.is_empty() => {
                locations.insert(word.clone(), word_location.clone());
            }
            _ => {}
        }
        if char.is_alphanumeric() || char == '_' {
            if word.is_empty() {
                word_location = Location { file: start.file.clone(), line, column };
            }
            word.push(char);
        } else if !char.is_whitespace() {
            word.clear();
        }
        for skipped in &text[at..at + skip] {
            (line, column) = if *skipped == '\n' { (line + 1, 1) } else { (line, column + 1) };
        }
        at += skip;
    }
    locations
}

/// Converts a Starlark value.
fn to_raw_value(value: Value, depth: usize) -> RawValue {
    if depth > MAX_NESTING {
        return RawValue::Other("nested too deeply".into());
    }
    if value.is_none() {
        return RawValue::None;
    }
    if let Some(flag) = value.unpack_bool() {
        return RawValue::Bool(flag);
    }
    if let Some(text) = value.unpack_str() {
        return RawValue::Text(text.into());
    }
    if let Some(list) = ListRef::from_value(value) {
        return RawValue::List(list.iter().map(|item| to_raw_value(item, depth + 1)).collect());
    }
    if let Some(dict) = DictRef::from_value(value) {
        let entry = |(key, value): (Value, Value)| {
            let key = key.unpack_str().map_or_else(|| key.to_str(), str::to_owned);
            (key, to_raw_value(value, depth + 1))
        };
        return RawValue::Dict(dict.iter().map(entry).collect());
    }
    if let Some(with_unit) = StructRef::from_value(value) {
        let fields: HashMap<&str, Value> = with_unit.iter().map(|(k, v)| (k.as_str(), v)).collect();
        let number = |name| fields.get(name).and_then(|v| v.to_str().parse::<u64>().ok()).unwrap_or(0);
        let text = |name| fields.get(name).and_then(|v| v.unpack_str()).unwrap_or_default();
        return match text(UNIT_FIELD) {
            "time" => RawValue::Time(number("value")),
            "size" => RawValue::Size(number("value")),
            "share" => RawValue::Share(number("value")),
            "keyed" => RawValue::Keyed(text("group").into(), number("value")),
            _ => RawValue::Other(value.to_str()),
        };
    }
    match value.get_type() {
        "int" => value.to_str().parse().map_or_else(|_| RawValue::Other(value.to_str()), RawValue::Int),
        "float" => value.to_str().parse().map_or_else(
            |_| RawValue::Other(value.to_str()),
            |x: f64| if x.is_finite() { RawValue::Float(x) } else { RawValue::Other(value.to_str()) },
        ),
        _ => RawValue::Other(value.to_str()),
    }
}

#[starlark_module]
fn script_functions(builder: &mut GlobalsBuilder) {
    /// Microseconds.
    fn us<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        apply_unit(eval, "time", n, 1.0)
    }
    /// Milliseconds.
    fn ms<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        apply_unit(eval, "time", n, 1e3)
    }
    /// Seconds.
    fn s<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        apply_unit(eval, "time", n, 1e6)
    }
    /// Minutes.
    fn minutes<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        apply_unit(eval, "time", n, 60e6)
    }
    /// KiB.
    fn kb<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        apply_unit(eval, "size", n, 1024.0)
    }
    /// MiB.
    fn mb<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        apply_unit(eval, "size", n, 1_048_576.0)
    }
    /// A share of the calls, in steps of a hundredth of a percent.
    fn percent<'v>(n: Value<'v>, eval: &mut Evaluator<'v, '_, '_>) -> anyhow::Result<Value<'v>> {
        if let RawValue::Float(x) = to_raw_value(n, 0)
            && ((x * 100.0).round() - x * 100.0).abs() > 1e-6
        {
            anyhow::bail!("percent({x}): shares go in steps of 0.01 percent");
        }
        apply_unit(eval, "share", n, 100.0)
    }
    /// The effect of a class whose repeated calls a group of workers deduplicates by key for a time.
    fn keyed<'v>(
        #[starlark(require = named)] group: &str,
        #[starlark(require = named)] memory: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let RawValue::Time(memory) = to_raw_value(memory, 0) else {
            anyhow::bail!("memory = {}: a time such as s(5) is wanted", to_raw_value(memory, 0))
        };
        let heap = eval.heap();
        let fields =
            [(UNIT_FIELD, heap.alloc("keyed")), ("group", heap.alloc(group)), ("value", heap.alloc(memory))];
        Ok(heap.alloc(AllocStruct(fields)))
    }
    fn gateway<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "gateway", &f)
    }
    fn call_class<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "call_class", &f)
    }
    fn tenant<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "tenant", &f)
    }
    fn fleet<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "fleet", &f)
    }
    fn cold_start<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "cold_start", &f)
    }
    fn ration<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "ration", &f)
    }
    fn shift<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "shift", &f)
    }
    fn step<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "step", &f)
    }
    fn guard<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "guard", &f)
    }
    fn versions<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "versions", &f)
    }
    fn worker<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "worker", &f)
    }
    fn limits<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "limits", &f)
    }
    fn scale<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "scale", &f)
    }
    fn network<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "network", &f)
    }
    fn function<'v>(
        #[starlark(kwargs)] f: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_section(eval, "function", &f)
    }
}
