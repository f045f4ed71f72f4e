//! `gentianhinge status` against a stand-in for a router's operators' listener.

use std::io::{Read, Write};
use std::{net, process, thread};

/// Output for a router that answers with this status.
fn output(status: &'static str, args: &[&str]) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        stream.write_all(format!("{head}{status}").as_bytes()).unwrap();
    });
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"));
    let output = command.args(["status", "--router", &addr]).args(args).output().unwrap();
    server.join().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    the_progress_of_evacuations_is_printed: {
        let text = output(r#"{"router":"r1","zone":"a","phase":"Serving","ready":true,
            "config_version":3,"routers":2,"targets":[],"evacuations":[
            {"zone":"a","for_ms":4210,"targets":20,"own_requests":1,"requests":17,"empty":false},
            {"zone":"b","for_ms":61000,"targets":20,"own_requests":0,"requests":0,"empty":true},
            {"zone":"x","for_ms":900,"targets":0,"own_requests":0,"requests":0,"empty":false}]}"#, &[]);
        assert_eq!(text.lines().skip(1).collect::<Vec<_>>(), [
            "evacuation of zone a for 4.2 s: not empty yet, 20 targets, 17 requests in flight, 1 of them from this router",
            "evacuation of zone b for 61.0 s: empty, 20 targets, 0 requests in flight, 0 of them from this router",
            "evacuation of zone x for 0.9 s: no targets, 0 targets, 0 requests in flight, 0 of them from this router",
        ]);
    },
    the_status_of_a_router_of_an_earlier_version_is_printed: {
        let text = output(r#"{"router":"r1","zone":"a","phase":"Serving","ready":true,
            "config_version":3,"routers":2,"targets":[]}"#, &[]);
        assert_eq!(text, "router r1, zone a, Serving, ready true, configuration 3, 2 routers\n");
    },
}
