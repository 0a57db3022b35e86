//! Declarations: the desired workspaces, services, drained nodes and evacuated zones in version-controlled TOML
//! files, and the changes that reconcile the configuration with them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::config::{Change, Config, Quota, Serving};
use crate::settings;
use crate::unit::{Node, Service, Workspace, Zone};

/// Maximum number of files of one declaration.
pub const MAX_FILES: usize = 1_024;

/// The desired configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Desired workspaces; all others are removed.
    #[serde(default)]
    pub workspaces: BTreeMap<Workspace, Quota>,
    /// Desired services; all others are removed.
    #[serde(default)]
    pub services: BTreeMap<Service, Serving>,
    /// Nodes that accept no new work; all others are undrained. If absent, drains are left
    /// unchanged.
    #[serde(default)]
    pub drained: Option<BTreeSet<Node>>,
    /// Availability zones whose nodes accept no new work; all others are in service. If absent,
    /// evacuations are left unchanged.
    #[serde(default)]
    pub evacuated: Option<BTreeSet<Zone>>,
}

/// Reason why a declaration is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory cannot be read.
    #[error("{directory}: cannot be read: {cause}")]
    Directory {
        /// Path of the directory.
        directory: PathBuf,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// The directory holds no file that ends in `.toml`.
    #[error("{directory}: holds no .toml file, so everything would be removed")]
    NoFiles {
        /// Path of the directory.
        directory: PathBuf,
    },
    /// The directory holds more than [`MAX_FILES`] `.toml` files.
    #[error("{directory}: {found} files are over the limit of {MAX_FILES}")]
    TooManyFiles {
        /// Path of the directory.
        directory: PathBuf,
        /// Number of files.
        found: usize,
    },
    /// A file cannot be read or is malformed.
    #[error("{0}")]
    File(#[from] settings::Error),
    /// Two files declare the same workspace or service.
    #[error("{file}: {name} is declared in {first} already")]
    Duplicate {
        /// Kind and name of the workspace or service.
        name: String,
        /// First file that declares it.
        first: PathBuf,
        /// File that declares it again.
        file: PathBuf,
    },
}

/// Reads and merges the `.toml` files of a directory.
///
/// # Errors
///
/// Returns [`Error`] with the path, and with the line and key if the content is wrong.
pub fn read(directory: impl AsRef<Path>) -> Result<Declaration, Error> {
    let mut parts = Vec::new();
    for file in list_files(directory.as_ref())? {
        let part = settings::read(&file)?;
        parts.push((file, part));
    }
    merge(parts)
}

/// Parses the text of one file.
///
/// # Errors
///
/// Returns [`Error`] if the text is too large or malformed.
pub fn parse(file: impl Into<PathBuf>, text: &str) -> Result<Declaration, Error> {
    Ok(settings::parse(file.into(), text)?)
}

/// Merges the declarations of several files. The lists of drained nodes and of
/// evacuated zones are joined.
///
/// # Errors
///
/// Returns [`Error::Duplicate`] if two files declare the same workspace or service.
pub fn merge(
    parts: impl IntoIterator<Item = (PathBuf, Declaration)>,
) -> Result<Declaration, Error> {
    let mut merged = Declaration::default();
    let mut files = BTreeMap::new();
    for (file, part) in parts {
        for (workspace, quota) in part.workspaces {
            register_name(&mut files, format!("workspace {workspace}"), &file)?;
            merged.workspaces.insert(workspace, quota);
        }
        for (service, serving) in part.services {
            register_name(&mut files, format!("service {service}"), &file)?;
            merged.services.insert(service, serving);
        }
        if let Some(nodes) = part.drained {
            merged.drained.get_or_insert_default().extend(nodes);
        }
        if let Some(zones) = part.evacuated {
            merged.evacuated.get_or_insert_default().extend(zones);
        }
    }
    Ok(merged)
}

/// Returns the changes that lead from a configuration to the declared one.
///
/// They are in the order of names, removals last, so that no change refers to a removed name.
#[must_use]
pub fn changes(config: &Config, declared: &Declaration) -> Vec<Change> {
    let mut changes = Vec::new();
    for (workspace, quota) in &declared.workspaces {
        let held = config.workspaces.get(workspace);
        if !held.is_some_and(|held| held.matches_declaration(quota)) {
            let (workspace, quota) = (workspace.clone(), quota.clone());
            changes.push(Change::PutWorkspace { workspace, quota });
        }
    }
    for (service, serving) in &declared.services {
        if config.services.get(service) != Some(serving) {
            let (service, serving) = (service.clone(), serving.clone());
            changes.push(Change::PutService { service, serving });
        }
    }
    if let Some(drained) = &declared.drained {
        let to_drain = drained.difference(&config.drained).cloned();
        changes.extend(to_drain.map(|node| Change::Drain { node }));
        let to_undrain = config.drained.difference(drained).cloned();
        changes.extend(to_undrain.map(|node| Change::Undrain { node }));
    }
    if let Some(evacuated) = &declared.evacuated {
        let to_evacuate = evacuated.difference(&config.evacuated).cloned();
        changes.extend(to_evacuate.map(|zone| Change::Evacuate { zone }));
        let to_return = config.evacuated.difference(evacuated).cloned();
        changes.extend(to_return.map(|zone| Change::Return { zone }));
    }
    let is_declared = |service: &&Service| declared.services.contains_key(*service);
    let removed = config.services.keys().filter(|service| !is_declared(service)).cloned();
    changes.extend(removed.map(|service| Change::RemoveService { service }));
    let is_declared = |workspace: &&Workspace| declared.workspaces.contains_key(*workspace);
    let removed = config.workspaces.keys().filter(|workspace| !is_declared(workspace)).cloned();
    changes.extend(removed.map(|workspace| Change::RemoveWorkspace { workspace }));
    changes
}

fn list_files(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let unreadable = |cause| Error::Directory { directory: directory.to_owned(), cause };
    let mut files = Vec::new();
    for item in std::fs::read_dir(directory).map_err(unreadable)? {
        let path = item.map_err(unreadable)?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    if files.is_empty() {
        return Err(Error::NoFiles { directory: directory.to_owned() });
    }
    if files.len() > MAX_FILES {
        return Err(Error::TooManyFiles { directory: directory.to_owned(), found: files.len() });
    }
    files.sort();
    Ok(files)
}

fn register_name(
    files: &mut BTreeMap<String, PathBuf>,
    name: String,
    file: &Path,
) -> Result<(), Error> {
    if let Some(first) = files.get(&name) {
        return Err(Error::Duplicate { name, first: first.clone(), file: file.to_owned() });
    }
    files.insert(name, file.to_owned());
    Ok(())
}
