//! Run-time parameters as sorted name and value pairs.

/// A parameter's name and value.
pub type Parameter = (Box<str>, Box<str>);

/// The value of a parameter in a sorted vector.
pub fn get<'a>(parameters: &'a [Parameter], name: &str) -> Option<&'a str> {
    let index = find(parameters, name).ok()?;
    Some(&parameters[index].1)
}

/// Sets a parameter in a sorted vector.
pub fn set(parameters: &mut Vec<Parameter>, name: &str, value: &str) {
    match find(parameters, name) {
        Ok(index) => parameters[index].1 = value.into(),
        Err(index) => parameters.insert(index, (name.into(), value.into())),
    }
}

/// Removes a parameter from a sorted vector and gives its value.
pub fn remove(parameters: &mut Vec<Parameter>, name: &str) -> Option<Box<str>> {
    let index = find(parameters, name).ok()?;
    Some(parameters.remove(index).1)
}

fn find(parameters: &[Parameter], name: &str) -> Result<usize, usize> {
    parameters.binary_search_by(|(other, _)| (**other).cmp(name))
}
