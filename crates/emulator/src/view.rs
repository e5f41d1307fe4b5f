//! The display while the emulator runs: a terminal view, or plain lines where there is no
//! terminal. It is derived from the lines of the history alone.

use crate::history::{Event, HistoryLine, UserOperation};
use finchquay_protocol::user::Status;
use ratatui::Frame;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::Line;
use ratatui::widgets::{Block, Paragraph, Row, Sparkline, Table};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Samples in the curve of running tasks, which are one second apart.
const CURVE_SAMPLES: usize = 120;
/// Lines of news that are kept.
const MAX_NEWS: usize = 200;

/// Progress of a job, as far as its user was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Submitted,
    Accepted,
    Running,
    Done,
    Cancelled,
}

/// All stages, with the names that the display gives them.
const STAGES: [(Stage, &str); 5] = [
    (Stage::Submitted, "submitted"),
    (Stage::Accepted, "waiting"),
    (Stage::Running, "running"),
    (Stage::Done, "done"),
    (Stage::Cancelled, "withdrawn"),
];

/// The state that the display shows.
#[derive(Debug, Default)]
pub struct Model {
    now_s: f64,
    scenario: String,
    /// Address, state, memory in MB and CPU time in seconds of each controller.
    controllers: BTreeMap<String, (String, String, f64, f64)>,
    /// Machines that are up, and that are booting.
    machines: (u32, u32),
    tasks_running: u32,
    spent: f64,
    /// Changes in the state service: in total, and their rate per second at the last sample.
    changes: (u64, f64),
    /// Class and stage of each job.
    jobs: HashMap<String, (String, Stage)>,
    /// Faults in effect.
    faults: BTreeSet<String>,
    /// Running tasks in the last samples.
    curve: VecDeque<u64>,
    /// The latest news, newest first.
    news: VecDeque<String>,
    task_starts: u64,
    tasks_done: u64,
}

impl Model {
    /// Updates the state with one line of the history. Returns a line of text if the event
    /// is to be reported as news.
    pub fn update(&mut self, line: &HistoryLine) -> Option<String> {
        let before_s = self.now_s;
        self.now_s = line.at_s;
        let news = match &line.event {
            Event::RunStarted { scenario, facts, .. } => {
                self.scenario = scenario.clone();
                for (name, address) in &facts.controllers {
                    self.controllers.entry(name.clone()).or_default().0 = address.clone();
                }
                Some(format!("{scenario} begins"))
            }
            Event::Controller { controller, what } => {
                self.controllers.entry(controller.clone()).or_default().1 = what.clone();
                Some(format!("{controller} {what}"))
            }
            Event::Fault { name, on } => {
                if *on {
                    self.faults.insert(name.clone());
                } else {
                    self.faults.remove(name);
                }
                Some(format!("fault {name} {}", if *on { "begins" } else { "ends" }))
            }
            Event::StoreFault { what, keys } => {
                let (first, more) = (keys.first().cloned().unwrap_or_default(), keys.len().saturating_sub(1));
                Some(format!("state service: write {what}: {first} and {more} more keys"))
            }
            Event::Job { spec } => {
                self.jobs.insert(spec.uid.clone(), (spec.class.clone(), Stage::Submitted));
                None
            }
            Event::UserRequest { operation, uid, status, state, .. } => {
                self.record_request(*operation, uid, *status, *state);
                None
            }
            Event::Start { .. } => {
                self.task_starts += 1;
                None
            }
            Event::Stop { cause, .. } => {
                self.tasks_done += u64::from(cause == "done");
                None
            }
            Event::Sample {
                machines_up, machines_booting, tasks_running, store_changes, spent, controllers, ..
            } => {
                self.machines = (*machines_up, *machines_booting);
                self.tasks_running = *tasks_running;
                self.spent = *spent;
                let passed_s = (line.at_s - before_s).max(0.5);
                self.changes =
                    (*store_changes, store_changes.saturating_sub(self.changes.0) as f64 / passed_s.max(1.0));
                for (name, (mb, cpu)) in controllers {
                    let controller = self.controllers.entry(name.clone()).or_default();
                    (controller.2, controller.3) = (*mb, *cpu);
                }
                self.curve.push_back(u64::from(*tasks_running));
                if self.curve.len() > CURVE_SAMPLES {
                    self.curve.pop_front();
                }
                None
            }
            Event::MachineGone { machine, why } if why == "died" || why == "recalled" => {
                Some(format!("{machine} {why}"))
            }
            Event::MachineUp { .. } | Event::MachineGone { .. } => None,
            Event::RunEnded { settled } => Some(if *settled { "over".into() } else { "stopped".into() }),
        };
        let news = news.map(|text| format!("{:7.1} s  {text}", line.at_s));
        if let Some(text) = &news {
            self.news.push_front(text.clone());
            self.news.truncate(MAX_NEWS);
        }
        news
    }

    /// Advances the stage of a job after a request of its user.
    fn record_request(&mut self, operation: UserOperation, uid: &str, status: Option<u16>, state: Option<Status>) {
        let Some((_, stage)) = self.jobs.get_mut(uid) else { return };
        let new_stage = match (state, operation, status) {
            (Some(Status::Done), ..) => Stage::Done,
            (Some(Status::Cancelled), ..) => Stage::Cancelled,
            (Some(Status::Running), ..) => Stage::Running,
            (_, UserOperation::Submit, Some(200 | 201)) | (Some(Status::Queued), ..) => Stage::Accepted,
            _ => return,
        };
        // A job may wait again after it ran, but an end is final.
        if *stage < Stage::Done {
            *stage = new_stage;
        }
    }

    /// One line with the most important numbers, for output without a terminal.
    pub fn summary(&self) -> String {
        let counts: Vec<String> = STAGES
            .iter()
            .map(|(stage, name)| format!("{} {name}", self.jobs.values().filter(|(_, s)| s == stage).count()))
            .collect();
        format!(
            "{:7.1} s  machines {} up, {} booting; tasks {} running, {} done; jobs {}; {:.0} changes/s",
            self.now_s,
            self.machines.0,
            self.machines.1,
            self.tasks_running,
            self.tasks_done,
            counts.join(", "),
            self.changes.1
        )
    }

    /// Draws the terminal view.
    pub fn draw(&self, frame: &mut Frame) {
        let controllers_height = self.controllers.len() as u16 + 3;
        let classes: BTreeSet<&String> = self.jobs.values().map(|(c, _)| c).collect();
        let [head, middle, jobs, curve, news] = Layout::vertical([
            Constraint::Length(1),
            Constraint::Length(controllers_height),
            Constraint::Length(classes.len() as u16 + 3),
            Constraint::Length(6),
            Constraint::Min(3),
        ])
        .areas(frame.area());
        let title = format!("finchquay emulator: {}  {:.0} s  (Ctrl-C or q to quit)", self.scenario, self.now_s);
        frame.render_widget(Line::from(title).bold(), head);
        let [left, right] = Layout::horizontal([Constraint::Percentage(60), Constraint::Percentage(40)]).areas(middle);
        let rows = self.controllers.iter().map(|(name, (address, state, mb, cpu))| {
            let style = if state == "started" { Style::new() } else { Style::new().fg(Color::Red) };
            Row::new([name.clone(), address.clone(), state.clone(), format!("{mb:.1} MB"), format!("{cpu:.1} s")])
                .style(style)
        });
        let widths = [10, 18, 9, 10, 8].map(Constraint::Length);
        let header = Row::new(["controller", "users at", "state", "memory", "cpu"]).bold();
        frame
            .render_widget(Table::new(rows, widths).header(header).block(Block::bordered().title("controllers")), left);
        let faults: Vec<&str> = self.faults.iter().map(String::as_str).collect();
        let environment = vec![
            Line::from(format!("machines {} up, {} booting", self.machines.0, self.machines.1)),
            Line::from(format!(
                "tasks {} running, {} done, {} starts",
                self.tasks_running, self.tasks_done, self.task_starts
            )),
            Line::from(format!("state {:.0} changes/s   spent {:.3}", self.changes.1, self.spent)),
            Line::from(format!("faults {}", if faults.is_empty() { "none".into() } else { faults.join(", ") }))
                .style(if faults.is_empty() { Style::new() } else { Style::new().fg(Color::Red) }),
        ];
        frame.render_widget(Paragraph::new(environment).block(Block::bordered().title("environment")), right);
        let rows = classes.iter().map(|class| {
            let count = |stage| self.jobs.values().filter(|(c, s)| c == *class && *s == stage).count().to_string();
            Row::new([(*class).clone()].into_iter().chain(STAGES.iter().map(|(s, _)| count(*s))))
        });
        let widths = [24, 10, 10, 10, 10, 10].map(Constraint::Length);
        let header = Row::new(["class"].into_iter().chain(STAGES.iter().map(|(_, n)| *n))).bold();
        frame.render_widget(Table::new(rows, widths).header(header).block(Block::bordered().title("jobs")), jobs);
        let data: Vec<u64> = self.curve.iter().copied().collect();
        let sparkline = Sparkline::default().data(&data).block(Block::bordered().title("tasks running"));
        frame.render_widget(sparkline, curve);
        let lines: Vec<Line> = self.news.iter().map(|text| Line::from(text.as_str())).collect();
        frame.render_widget(Paragraph::new(lines).block(Block::bordered().title("news")), news);
    }
}

#[cfg(test)]
mod tests;
