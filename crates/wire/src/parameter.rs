//! Run-time parameters, kept in vectors of name and value pairs that are sorted by name.

/// Name and value of a run-time parameter.
pub type Parameter = (Box<str>, Box<str>);

/// Returns the value of a parameter. `parameters` must be sorted by name.
pub fn get<'a>(parameters: &'a [Parameter], name: &str) -> Option<&'a str> {
    let index = find(parameters, name).ok()?;
    Some(&parameters[index].1)
}

/// Sets a parameter and keeps `parameters` sorted by name.
pub fn set(parameters: &mut Vec<Parameter>, name: &str, value: &str) {
    match find(parameters, name) {
        Ok(index) => parameters[index].1 = value.into(),
        Err(index) => parameters.insert(index, (name.into(), value.into())),
    }
}

/// Removes a parameter and returns its value. `parameters` must be sorted by name.
pub fn remove(parameters: &mut Vec<Parameter>, name: &str) -> Option<Box<str>> {
    let index = find(parameters, name).ok()?;
    Some(parameters.remove(index).1)
}

fn find(parameters: &[Parameter], name: &str) -> Result<usize, usize> {
    parameters.binary_search_by(|(other, _)| (**other).cmp(name))
}
