//! Starting, killing and stopping one process of the mesh.

use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

/// A process of the mesh and its settings; it is killed on drop.
pub struct Process {
    pub(super) child: Option<Child>,
    pub(super) program: &'static str,
    pub(super) settings: PathBuf,
    pub(super) bootstrap: bool,
}

impl Process {
    pub fn start(&mut self) {
        let mut command = Command::new(self.program);
        command.arg("--settings").arg(&self.settings);
        if self.bootstrap {
            command.arg("--bootstrap");
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .unwrap();
        command.stderr(Stdio::from(log)).stdin(Stdio::null());
        self.child = Some(command.spawn().unwrap());
        self.bootstrap = false;
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Sends SIGTERM, waits for the exit and returns whether it was successful.
    pub fn terminate(&mut self) -> bool {
        let mut child = self.child.take().unwrap();
        let signalled = Command::new("kill").arg(child.id().to_string()).status();
        assert!(signalled.unwrap().success());
        child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
