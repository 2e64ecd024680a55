//! Reads a folder of configuration files. Their content is checked by [`policy::config`].

use std::{fs, io, path::Path};

use policy::config::{Findings, SourceFile, tree::MAX_FILE_BYTES};

/// Maximum number of files in a folder.
const MAX_FILES: usize = 1_000;

/// Reads the files of `dir` whose names end in `.json`, sorted by name.
///
/// If `dir` is a file, only that file is read, whatever its name: some platforms provide the
/// settings of a process as a single file.
///
/// Hidden files are skipped, because editors and mounts use them for their own data. Symbolic links
/// are followed, because platforms mount configuration through them. Subfolders aren't read.
///
/// # Errors
///
/// A finding for each file that can't be read.
pub fn read_folder(dir: &Path) -> Result<Vec<SourceFile>, Findings> {
    let mut findings = Findings::default();
    if dir.is_file() {
        return read_single_file(dir).map_err(|e| {
            findings.push(None, "", format!("the file {} can't be read: {e}", dir.display()));
            findings
        });
    }
    let mut files = Vec::new();
    let entries = match fs::read_dir(dir) {
        Ok(entries) => entries,
        Err(e) => {
            findings.push(None, "", format!("the folder {} can't be read: {e}", dir.display()));
            return Err(findings);
        }
    };
    for entry in entries {
        if files.len() == MAX_FILES {
            let message = format!("the folder {} has more than {MAX_FILES} files", dir.display());
            findings.push(None, "", message);
            break;
        }
        match entry.and_then(|entry| read_entry(&entry)) {
            Ok(Some(file)) => files.push(file),
            Ok(None) => {}
            Err(e) => {
                let message = format!("a file of {} can't be read: {e}", dir.display());
                findings.push(None, "", message);
            }
        }
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    findings.into_result(files)
}

fn read_single_file(path: &Path) -> io::Result<Vec<SourceFile>> {
    let text = fs::read_to_string(path)?;
    Ok(vec![SourceFile { name: path.display().to_string(), text }])
}

fn read_entry(entry: &fs::DirEntry) -> io::Result<Option<SourceFile>> {
    let name = entry.file_name();
    let Some(name) = name.to_str() else { return Ok(None) };
    if name.starts_with('.') || !name.ends_with(".json") {
        return Ok(None);
    }
    let add_file_name = |e: io::Error| io::Error::new(e.kind(), format!("{name}: {e}"));
    let metadata = fs::metadata(entry.path()).map_err(add_file_name)?;
    if !metadata.is_file() {
        return Ok(None);
    }
    if metadata.len() > MAX_FILE_BYTES as u64 {
        let message = format!("{name}: it has more than {MAX_FILE_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
    }
    let text = fs::read_to_string(entry.path()).map_err(add_file_name)?;
    Ok(Some(SourceFile { name: name.to_owned(), text }))
}
